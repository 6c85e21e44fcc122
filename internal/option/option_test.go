package option_test

import (
	"errors"
	"flag"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/option"
)

// Guards against reporting only the first invalid setting, which makes an
// operator restart a host once for each mistake.
func TestEveryWrongSettingIsNamedAtOnce(t *testing.T) {
	is := is.New(t)
	_, err := option.Parse([]string{"entry", "-listen", "somewhere", "-log-level", "loud", "-trace-ratio", "2", "-cert", "x"})
	var usage *option.UsageError
	is.True(errors.As(err, &usage))
	for _, name := range []string{"-host", "-domain", "-listen", "-link-listen", "-log-level", "-trace-ratio", "-control", "-ca"} {
		is.True(strings.Contains(err.Error(), name)) // each wrong flag is named
	}
}

// Guards against a flag of the usage text that does not exist, and against
// an environment variable that is ignored.
func TestUsageFlagsExistAndEnvironmentIsRead(t *testing.T) {
	is := is.New(t)
	t.Setenv("JUJUBETHREAD_TIMEOUT", "3s")
	o, err := option.Parse([]string{"preset", "switch", "peak", "-json"})
	is.NoErr(err)
	is.Equal(o.Timeout.String(), "3s")
	is.Equal(o.Args, []string{"switch", "peak"})
	is.True(o.JSON)
	for _, line := range strings.Split(option.Usage(), "\n") {
		word, _, _ := strings.Cut(strings.TrimSpace(line), " ")
		if !strings.HasPrefix(word, "-") {
			continue
		}
		_, err := option.Parse([]string{"status", word + "=1"})
		is.True(err == nil || !strings.Contains(err.Error(), "not defined")) // documented flags are defined
	}
}

// Guards against help being reported as a failure.
func TestHelp(t *testing.T) {
	is := is.New(t)
	for _, args := range [][]string{nil, {"-h"}, {"entry", "-h"}} {
		_, err := option.Parse(args)
		is.True(errors.Is(err, flag.ErrHelp))
	}
}

// Guards against plaintext on an address that other machines can reach.
func TestPlaintextNeedsLoopback(t *testing.T) {
	is := is.New(t)
	args := []string{"control", "-host", "c1", "-domain", "d1", "-data", "x", "-listen", "10.0.0.1:1", "-link-listen", "10.0.0.1:2"}
	_, err := option.Parse(args)
	is.True(err != nil)
	_, err = option.Parse(append(args, "-allow-plaintext"))
	is.NoErr(err)
}

// Guards against limits below which a host cannot serve a single request, and against
// large numbers that are taken for such ones.
func TestLimitsOfHost(t *testing.T) {
	args := []string{"control", "-host", "c1", "-domain", "d1", "-data", "x", "-listen", "127.0.0.1:1", "-link-listen", "127.0.0.1:2"}
	for _, c := range []struct {
		memory, descriptors string
		wrong               string
	}{
		{memory: "0", descriptors: "0"},
		{memory: "48", descriptors: "64"},
		{memory: "1000000", descriptors: "1000000"},
		{memory: "47", descriptors: "64", wrong: "-memory"},
		{memory: "-1", descriptors: "64", wrong: "-memory"},
		{memory: "48", descriptors: "63", wrong: "-descriptors"},
		{memory: "48", descriptors: "-1", wrong: "-descriptors"},
	} {
		is := is.New(t)
		_, err := option.Parse(append(args, "-memory", c.memory, "-descriptors", c.descriptors))
		if c.wrong == "" {
			is.NoErr(err)
			continue
		}
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), c.wrong+" is too small"))
	}
}
