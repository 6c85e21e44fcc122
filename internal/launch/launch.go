// Package launch starts the subcommands of the program.
package launch

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"github.com/jujubethread/jujubethread/internal/admin"
	"github.com/jujubethread/jujubethread/internal/option"
)

// Exit statuses, as the usage text lists them.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitNotRun   = 3
	exitUnknown  = 4
	exitConflict = 5
	exitUnmet    = 6
)

// daemons are the commands that serve until SIGTERM or an interrupt.
var daemons = []option.Command{option.Entry, option.Control}

// job is one execution of a subcommand.
type job struct {
	opt    *option.Options
	out    io.Writer
	errOut io.Writer
	// client is set for the operator commands only.
	client *admin.Client
	// hangups receives SIGHUP; it is nil for commands that SIGHUP ends.
	hangups chan os.Signal
}

// Main runs the program with the arguments after its name and returns the
// exit status.
func Main(args []string, out, errOut io.Writer) int {
	// The daemons catch SIGHUP first and until the process ends: without a handler
	// it would end the process at once, also while it drains.
	var hangups chan os.Signal
	if len(args) > 0 && slices.Contains(daemons, option.Command(args[0])) {
		hangups = make(chan os.Signal, 1)
		signal.Notify(hangups, syscall.SIGHUP)
	}
	opt, err := option.Parse(args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		fmt.Fprint(out, option.Usage())
		return exitOK
	case err != nil:
		fmt.Fprintln(errOut, "jujubethread:", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	j := &job{
		opt:    opt,
		out:    out,
		errOut: errOut,

		hangups: hangups,
	}
	err = j.run(ctx)
	if err != nil {
		fmt.Fprintln(errOut, "jujubethread:", err)
	}
	return exitStatus(err)
}

func (j *job) run(ctx context.Context) error {
	if j.opt.Operator() {
		if err := j.initClient(); err != nil {
			return err
		}
	}
	switch j.opt.Command {
	case option.Dev:
		return j.dev(ctx)
	case option.Demo:
		return j.demo(ctx)
	case option.Entry:
		return j.entry(ctx)
	case option.Control:
		return j.control(ctx)
	case option.Leaf:
		return j.leaf(ctx)
	case option.Proxy:
		return j.proxy(ctx)
	case option.Keys:
		return j.keys(ctx)
	case option.Load:
		return j.load(ctx)
	case option.Replay:
		return j.replay(ctx)
	case option.Trace:
		return j.trace(ctx)
	case option.Bench:
		return j.bench(ctx)
	case option.Status:
		return j.status(ctx)
	case option.Preset:
		return j.preset(ctx)
	case option.Upstream:
		return j.upstream(ctx)
	case option.Member:
		return j.member(ctx)
	case option.Filing:
		return j.filing(ctx)
	default:
		return &usageError{text: "command " + string(j.opt.Command) + " does not exist: run jujubethread -h for the list"}
	}
}

// usageError reports an invalid argument found after the flags were parsed.
type usageError struct{ text string }

// Error names the remedy.
func (e *usageError) Error() string { return e.text }

// exitError is an error with a specific exit status, for failures other than
// exitFailed and exitUsage.
type exitError struct {
	code int
	text string
}

// Error names the remedy.
func (e *exitError) Error() string { return e.text }

// logHangups logs that SIGHUP changes nothing, until the process ends.
func (j *job) logHangups(log *slog.Logger) {
	for range j.hangups {
		log.Info("SIGHUP is ignored: settings are flags, restart the host to change them")
	}
}

func exitStatus(err error) int {
	var usage *usageError
	var exit *exitError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &exit):
		return exit.code
	default:
		return exitFailed
	}
}
