package bench

import (
	"context"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/ctrl"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

const (
	restartChanges = 5000

	// restartSegment is one log segment, which the folder may hold besides the
	// snapshots and the log that a snapshot has not replaced yet.
	restartSegment = 1 << 20 // bytes

	pollPause = 2 * time.Millisecond
)

// restart measures a control host that starts again after 5,000 changes.
func restart(ctx context.Context, s *sink) error {
	folder, err := os.MkdirTemp("", "jujubethread-bench-")
	if err != nil {
		return errors.Wrap(err, "temporary data folder cannot be made")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	cfg := ctrl.Config{
		Folder:       folder,
		Listen:       "127.0.0.1:0",
		Address:      "127.0.0.1:0",
		NewGroup:     true,
		SegmentBytes: restartSegment,
	}
	if err := controlRun(ctx, cfg, func(h *ctrl.Host) error { return manyChanges(ctx, h, restartChanges) }); err != nil {
		return err
	}
	size, err := folderSize(folder)
	if err != nil {
		return err
	}
	began := time.Now()
	return controlRun(ctx, cfg, func(h *ctrl.Host) error {
		if err := serving(ctx, h); err != nil {
			return err
		}
		s.most("Restart.InService", time.Since(began).Seconds(), "seconds", 1)
		live, err := h.StateBytes(ctx)
		if err != nil {
			return err
		}
		s.most("Restart.Folder", float64(size), "bytes", 4*float64(live)+restartSegment)
		st, err := h.Config(ctx)
		if err != nil {
			return err
		}
		s.least("Restart.Version", float64(st.Version.Number), "count", restartChanges)
		return nil
	})
}

// controlRun runs work on a control host and stops it.
func controlRun(ctx context.Context, cfg ctrl.Config, work func(*ctrl.Host) error) error {
	h, err := ctrl.New(cfg)
	if err != nil {
		return err
	}
	life, stop := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() { ended <- h.Run(life) }()
	err = work(h)
	stop()
	if runErr := <-ended; err == nil {
		err = runErr
	}
	return err
}

// serving waits until a control host leads with its whole log applied.
func serving(ctx context.Context, h *ctrl.Host) error {
	for ctx.Err() == nil {
		st, err := h.Status(ctx)
		if err != nil {
			return err
		}
		if st.Lease && st.Applied == st.Last {
			return nil
		}
		time.Sleep(pollPause)
	}
	return ctx.Err()
}

func manyChanges(ctx context.Context, h *ctrl.Host, n int) error {
	if err := serving(ctx, h); err != nil {
		return err
	}
	names := []preset.Name{preset.Peak, preset.Ordinary}
	var at ident.ConfigVersion
	for i := range n {
		out := h.Command(ctx, config.Command{
			ID:     ident.CommandID(fmt.Sprintf("change-%d", i)),
			Expect: at,
			Change: config.SwitchPreset{Name: names[i%len(names)]},
		})
		if out.Kind != config.Accepted {
			return errors.Errorf("change %d ended as %s: %s", i, out.Kind, out.Remedy)
		}
		at = out.Version
	}
	return nil
}

func folderSize(folder string) (int64, error) {
	var total int64
	err := filepath.WalkDir(folder, func(_ string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		info, err := d.Info()
		if err == nil {
			total += info.Size()
		}
		return err
	})
	return total, err
}
