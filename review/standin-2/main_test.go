package standin_test

import (
	"fmt"
	"os"
	"testing"
)

// cases maps the names of cases to their functions, which report whether the rule was
// kept. trouble is false for the control run without the disruption.
var cases = map[string]func(w *world, trouble bool) (kept bool){}

// deployment describes the processes of a case.
type deployment struct {
	entriesPerZone int
	// proxied is set if the connections to control hosts pass through the network.
	proxied bool
}

var deployments = map[string]deployment{}

// TestMain makes the test binary a program that runs one case.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, recordFile string) (status int) {
	trouble := os.Getenv("TROUBLE") != "0"
	d := deployments[name]
	w := newWorld(recordFile, max(1, d.entriesPerZone), d.proxied)
	w.log("case %s, trouble %v", name, trouble)
	defer w.close(os.Getenv("KEEP") != "")
	defer func() {
		switch p := recover().(type) {
		case nil:
		case exitStatus:
			status = int(p)
		default:
			w.log("COULD NOT RUN: %v", p)
			status = 2
		}
		w.log("exit status %d", status)
	}()
	if !cases[name](w, trouble) {
		w.log("RULE BROKEN")
		return 1
	}
	w.log("rule kept")
	return 0
}
