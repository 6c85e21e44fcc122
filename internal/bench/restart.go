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

	// restartSegmentBytes is the size of a log segment. The folder may contain one
	// besides the snapshots and the log that no snapshot has replaced yet.
	restartSegmentBytes = 1 << 20

	pollInterval = 2 * time.Millisecond
)

// restart measures the recovery time and the data folder of a control host that
// restarts after 5,000 changes.
func restart(ctx context.Context, s *sink) error {
	folder, err := os.MkdirTemp("", "jujubethread-bench-")
	if err != nil {
		return errors.Wrap(err, "cannot create a temporary data folder: check TMPDIR")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	cfg := ctrl.Config{
		Folder:       folder,
		Listen:       "127.0.0.1:0",
		Address:      "127.0.0.1:0",
		NewGroup:     true,
		SegmentBytes: restartSegmentBytes,
	}
	if err := withControlHost(ctx, cfg, func(h *ctrl.Host) error { return applyChanges(ctx, h, restartChanges) }); err != nil {
		return err
	}
	size, err := folderSize(folder)
	if err != nil {
		return err
	}
	start := time.Now()
	return withControlHost(ctx, cfg, func(h *ctrl.Host) error {
		if err := waitUntilServing(ctx, h); err != nil {
			return err
		}
		s.atMost("Restart.InService", time.Since(start).Seconds(), "seconds", 1)
		live, err := h.StateBytes(ctx)
		if err != nil {
			return err
		}
		s.atMost("Restart.Folder", float64(size), "bytes", 4*float64(live)+restartSegmentBytes)
		st, err := h.Config(ctx)
		if err != nil {
			return err
		}
		s.atLeast("Restart.Version", float64(st.Version.Number), "count", restartChanges)
		return nil
	})
}

// withControlHost starts a control host, runs work on it and stops it.
func withControlHost(ctx context.Context, cfg ctrl.Config, work func(*ctrl.Host) error) error {
	h, err := ctrl.New(cfg)
	if err != nil {
		return err
	}
	runCtx, stop := context.WithCancel(ctx)
	exited := make(chan error, 1)
	go func() { exited <- h.Run(runCtx) }()
	err = work(h)
	stop()
	if runErr := <-exited; err == nil {
		err = runErr
	}
	return err
}

// waitUntilServing waits until a control host leads and has applied its complete
// log.
func waitUntilServing(ctx context.Context, h *ctrl.Host) error {
	for ctx.Err() == nil {
		st, err := h.Status(ctx)
		if err != nil {
			return err
		}
		if st.Lease && st.Applied == st.Last {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return ctx.Err()
}

func applyChanges(ctx context.Context, h *ctrl.Host, n int) error {
	if err := waitUntilServing(ctx, h); err != nil {
		return err
	}
	names := []preset.Name{preset.Peak, preset.Ordinary}
	var version ident.ConfigVersion
	for i := range n {
		out := h.Command(ctx, config.Command{
			ID:     ident.CommandID(fmt.Sprintf("change-%d", i)),
			Expect: version,
			Change: config.SwitchPreset{Name: names[i%len(names)]},
		})
		if out.Kind != config.Accepted {
			return errors.Errorf("change %d ended as %s: %s", i, out.Kind, out.Remedy)
		}
		version = out.Version
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
