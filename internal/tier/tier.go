// Package tier starts the daemons that run on the platform: entry hosts and
// control hosts.
package tier

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/core"
	"github.com/jujubethread/jujubethread/internal/front"
	"github.com/jujubethread/jujubethread/internal/guard"
	"github.com/jujubethread/jujubethread/internal/logs"
	"github.com/jujubethread/jujubethread/internal/story"
)

const (
	entryCommand   = "entry"
	controlCommand = "control"
	storyCommand   = "story"
	explainCommand = "explain"
)

const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// settingsPollInterval is the time between two checks of the settings file,
// which may change without a signal.
const settingsPollInterval = time.Second

// logFlushTimeout bounds writing the queued log lines before the process exits.
const logFlushTimeout = 200 * time.Millisecond

// daemon is a running host.
type daemon interface {
	Run(ctx context.Context) error
	// SetSeeds replaces the seeds after the settings have changed.
	SetSeeds(seeds []string)
}

// Main runs one daemon until SIGTERM, prints the story of a request from log lines, or
// explains where a request would go, and returns the exit status.
func Main(args []string, in io.Reader, out, errOut io.Writer) int {
	if len(args) > 1 && args[0] == storyCommand {
		return printStory(args[1:], in, out, errOut)
	}
	if len(args) > 0 && args[0] == explainCommand {
		return explain(args[1:], out, errOut)
	}
	if len(args) == 0 || args[0] != entryCommand && args[0] != controlCommand {
		fmt.Fprint(errOut, usage)
		return exitUsage
	}
	// SIGHUP is caught first and until the process ends: at any time without a
	// handler, and so while the host drains, it would end the process at once.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	o, err := Parse(args[0], args[1:], errOut)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exitOK
	case err != nil:
		fmt.Fprintln(errOut, "tier:", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, args, o, hup, out); err != nil {
		fmt.Fprintln(errOut, "tier:", err)
		return exitFailed
	}
	return exitOK
}

// printStory prints the log lines of one request, or the state changes between
// two times.
func printStory(args []string, in io.Reader, out, errOut io.Writer) int {
	log, err := story.Read(in)
	if err == nil && len(args) == 1 {
		err = log.Request(out, args[0])
	} else if err == nil {
		err = printWindow(log, out, args[0], args[1])
	}
	if err != nil {
		fmt.Fprintln(errOut, "tier:", err)
		return exitFailed
	}
	return exitOK
}

func printWindow(log *story.Log, out io.Writer, from, to string) error {
	start, err := time.Parse(time.RFC3339, from)
	if err != nil {
		return errors.Wrap(err, "invalid start time, write it as 2006-01-02T15:04:05Z")
	}
	end, err := time.Parse(time.RFC3339, to)
	if err != nil {
		return errors.Wrap(err, "invalid end time, write it as 2006-01-02T15:04:05Z")
	}
	return log.Window(out, start, end)
}

func run(ctx context.Context, args []string, o *Options, hup <-chan os.Signal, out io.Writer) error {
	queue := logs.NewQueue(out)
	defer queue.Close(logFlushTimeout)
	log, err := logs.New(queue, logs.Config{
		Host:   o.Name,
		Domain: o.Domain,
		Level:  o.LogLevel,
	})
	if err != nil {
		return err
	}
	guard.SetMemoryLimit(o.Memory)
	d, err := newDaemon(args[0], o, log, queue)
	if err != nil {
		return err
	}
	// Settings are followed until the host has drained, but no longer than the log
	// is open.
	serving, stopFollowing := context.WithCancel(context.WithoutCancel(ctx))
	var following sync.WaitGroup
	following.Go(func() { followSettings(serving, args, o, hup, d, log) })
	defer following.Wait()
	defer stopFollowing()
	return d.Run(ctx)
}

func newDaemon(command string, o *Options, log *slog.Logger, queue *logs.Queue) (daemon, error) {
	if command == entryCommand {
		return front.New(front.Config{
			Name:   o.Name,
			Domain: o.Domain,
			Front:  o.Front,
			Ready:  o.Ready,
			Link:   o.linkAddress(),
			Bind:   o.bindAddress(),
			Seeds:  o.seedLinks(),
			Extra:  o.Extra,
			Grace:  o.Grace,
			Log:    log,

			Quota:   o.Quota,
			Domains: o.Domains,

			Metrics: o.Metrics,
			Dropped: queue.Dropped,

			Memory:      o.Memory,
			Descriptors: o.Descriptors,
		})
	}
	return core.New(core.Config{
		Name:            o.Name,
		Domain:          o.Domain,
		Folder:          o.Folder,
		Operator:        o.Operator,
		Link:            o.linkAddress(),
		Bind:            o.bindAddress(),
		Seeds:           o.seedLinks(),
		First:           o.First,
		MaxDiskFailures: o.MaxDiskFailures,
		ListAddress:     o.ListAddress,
		Metrics:         o.Metrics,
		Memory:          o.Memory,
		Descriptors:     o.Descriptors,
		Log:             log,
	})
}

// followSettings rereads the settings on SIGHUP and when the file has changed.
// Only the seeds are applied; other changes need a restart. It goes on while the
// host drains.
func followSettings(ctx context.Context, args []string, o *Options, hup <-chan os.Signal, d daemon, log *slog.Logger) {
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	seeds, lastModified := o.Seeds, modTime(o.SettingsFile)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-tick.C:
			if t := modTime(o.SettingsFile); t.Equal(lastModified) {
				continue
			}
		}
		lastModified = modTime(o.SettingsFile)
		next, err := Parse(args[0], args[1:], io.Discard)
		if err != nil {
			log.Error("settings cannot be read; the old ones stay in force", "Error", err.Error())
			continue
		}
		log.Info("settings were read again", "Seeds", next.Seeds)
		if !slices.Equal(next.Seeds, seeds) {
			seeds = next.Seeds
			d.SetSeeds(next.seedLinks())
		}
	}
}

// modTime returns when a file was last modified; it is zero if the file cannot
// be read.
func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
