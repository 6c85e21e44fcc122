// Package tier starts the daemons that run on the platform.
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
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/core"
	"github.com/jujubethread/jujubethread/internal/front"
	"github.com/jujubethread/jujubethread/internal/logs"
	"github.com/jujubethread/jujubethread/internal/story"
)

// The commands.
const (
	entry   = "entry"
	control = "control"
	tell    = "story"
)

// Exit statuses.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// settingsEvery is how often the settings file is looked at, since it may
// change without a signal.
const settingsEvery = time.Second

// flushTime bounds writing the last log lines.
const flushTime = 200 * time.Millisecond

// daemon is a running host.
type daemon interface {
	Run(ctx context.Context) error
	// SetSeeds replaces the seeds after the settings have changed.
	SetSeeds(seeds []string)
}

// Main runs one daemon until SIGTERM, or the reader of logs, and returns the
// exit status.
func Main(args []string, in io.Reader, out, errOut io.Writer) int {
	if len(args) > 1 && args[0] == tell {
		return printStory(args[1:], in, out, errOut)
	}
	if len(args) == 0 || args[0] != entry && args[0] != control {
		fmt.Fprint(errOut, usage)
		return exitUsage
	}
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
	if err := run(ctx, args, o, out); err != nil {
		fmt.Fprintln(errOut, "tier:", err)
		return exitFailed
	}
	return exitOK
}

// printStory prints what logs tell of a request or of a time.
func printStory(args []string, in io.Reader, out, errOut io.Writer) int {
	log, err := story.Read(in)
	if err == nil && len(args) == 1 {
		err = log.Request(out, args[0])
	} else if err == nil {
		err = window(log, out, args[0], args[1])
	}
	if err != nil {
		fmt.Fprintln(errOut, "tier:", err)
		return exitFailed
	}
	return exitOK
}

func window(log *story.Log, out io.Writer, from, to string) error {
	begin, err := time.Parse(time.RFC3339, from)
	if err != nil {
		return errors.Wrap(err, "the first time cannot be read: write it as 2006-01-02T15:04:05Z")
	}
	end, err := time.Parse(time.RFC3339, to)
	if err != nil {
		return errors.Wrap(err, "the second time cannot be read: write it as 2006-01-02T15:04:05Z")
	}
	return log.Window(out, begin, end)
}

func run(ctx context.Context, args []string, o *Options, out io.Writer) error {
	queue := logs.NewQueue(out)
	defer queue.Close(flushTime)
	log, err := logs.New(queue, logs.Config{
		Host:   o.Name,
		Domain: o.Domain,
		Level:  o.LogLevel,
	})
	if err != nil {
		return err
	}
	d, err := newDaemon(args[0], o, log, queue)
	if err != nil {
		return err
	}
	go followSettings(ctx, args, o, d, log)
	return d.Run(ctx)
}

func newDaemon(command string, o *Options, log *slog.Logger, queue *logs.Queue) (daemon, error) {
	if command == entry {
		return front.New(front.Config{
			Name:   o.Name,
			Domain: o.Domain,
			Front:  o.Front,
			Ready:  o.Ready,
			Link:   o.link(),
			Bind:   o.bind(),
			Seeds:  o.links(),
			Extra:  o.Extra,
			Grace:  o.Grace,
			Log:    log,

			Metrics: o.Metrics,
			Dropped: queue.Dropped,
		})
	}
	return core.New(core.Config{
		Name:            o.Name,
		Domain:          o.Domain,
		Folder:          o.Folder,
		Operator:        o.Operator,
		Link:            o.link(),
		Bind:            o.bind(),
		Seeds:           o.links(),
		First:           o.First,
		MaxDiskFailures: o.Lost,
		ListAddress:     o.List,
		Metrics:         o.Metrics,
		Log:             log,
	})
}

// followSettings reads the settings again on SIGHUP and when the file has
// changed. The seeds are taken over; the rest needs a restart.
func followSettings(ctx context.Context, args []string, o *Options, d daemon, log *slog.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	tick := time.NewTicker(settingsEvery)
	defer tick.Stop()
	seeds, changed := o.Seeds, modified(o.File)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-tick.C:
			if at := modified(o.File); at.Equal(changed) {
				continue
			}
		}
		changed = modified(o.File)
		next, err := Parse(args[0], args[1:], io.Discard)
		if err != nil {
			log.Error("settings cannot be read; the old ones stay in force", "Error", err.Error())
			continue
		}
		log.Info("settings were read again", "Seeds", next.Seeds)
		if !slices.Equal(next.Seeds, seeds) {
			seeds = next.Seeds
			d.SetSeeds(next.links())
		}
	}
}

// modified returns when a file was last changed, or the zero time.
func modified(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
