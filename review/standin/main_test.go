// Package standin has the stand-ins of the review: clients, leafs, the platform's
// list and the operator, and the cases that run against the project's own programs.
// It is a test binary so that it stays out of the product: TestMain is its entry.
package standin

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// runLimit bounds a case, which may take 120 s.
const runLimit = 112 * time.Second

// cases are the scenarios by name. Each returns what broke its rule, one line each.
var cases = map[string]func(*cluster) ([]string, error){}

// TestMain runs the case that the first argument names. The second one is the
// folder for record.txt. The working directory is the root of the repository.
func TestMain(_ *testing.M) {
	flag.Parse()
	os.Exit(runCase(flag.Args()))
}

func runCase(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return exitNotRun
	}
	file, err := os.Create(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	rec := &record{
		file:  file,
		start: time.Now(),
	}
	broken, err := inCluster(rec, os.Getenv("TROUBLE") != "0", cases[args[0]])
	switch {
	case err != nil:
		rec.write("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case len(broken) > 0:
		for _, b := range broken {
			rec.write("BROKEN %s", b)
			fmt.Println("BROKEN", b)
		}
		return exitBroken
	}
	rec.write("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
