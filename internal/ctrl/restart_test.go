package ctrl_test

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/ctrl"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

const segmentBytes = 1 << 20 // the default of internal/store

// folderBytes returns the size of the files in a folder. If one is replaced
// meanwhile, the folder is listed again.
func folderBytes(t *testing.T, folder string) int64 {
	t.Helper()
	is := is.New(t)
	for {
		files, err := os.ReadDir(folder)
		is.NoErr(err)
		var sum int64
		replaced := false
		for _, f := range files {
			info, err := f.Info()
			if replaced = errors.Is(err, fs.ErrNotExist); replaced {
				break
			}
			is.NoErr(err)
			sum += info.Size()
		}
		if !replaced {
			return sum
		}
	}
}

// changeAt returns the i-th of a series of changes that add 200 upstreams and
// then replace them one after the other.
func changeAt(i int) config.Change {
	id := ident.Upstream(fmt.Sprint("u", i/3%200))
	switch {
	case i < 600 && i%3 == 0 || i >= 600 && i%3 == 2:
		return config.AddUpstream{Upstream: config.Upstream{
			ID:        id,
			Address:   "127.0.0.1:9000",
			Index:     "review-panel",
			Service:   "faculty-1",
			Shards:    []ident.Shard{ident.Shard(id)},
			Slots:     2,
			ConnLimit: 50,
		}}
	case i < 600:
		return config.SetSeats{Seats: i}
	case i%3 == 0:
		return config.RetireUpstream{ID: id}
	default:
		return config.RemoveUpstream{ID: id}
	}
}

// Guards against a log that grows with the number of changes, and against a
// restart that replays all of them.
func TestRestartAfterManyChanges(t *testing.T) {
	is := is.New(t)
	count := 5000
	if testing.Short() {
		count = 1200
	}
	cfg := ctrl.Config{
		Folder:   filepath.Join(t.TempDir(), "data"),
		Listen:   "127.0.0.1:0",
		Address:  "127.0.0.1:0",
		NewGroup: true,
	}
	h, stop := start(t, cfg)
	version := ident.ConfigVersion{}
	began, largest := time.Now(), int64(0)
	for i := range count {
		out := h.Command(t.Context(), config.Command{
			ID:     ident.CommandID(fmt.Sprint("change-", i)),
			Expect: version,
			Change: changeAt(i),
		})
		is.Equal(out.Kind, config.Accepted)
		version = out.Version
		if i%100 == 0 {
			largest = max(largest, folderBytes(t, cfg.Folder))
		}
	}
	took := time.Since(began)
	stop()
	size := folderBytes(t, cfg.Folder)

	began = time.Now()
	h, stop = start(t, cfg)
	out := h.Command(t.Context(), config.Command{
		ID:     "after",
		Expect: version,
		Change: config.SetSeats{Seats: 9},
	})
	restart := time.Since(began)
	is.Equal(out.Kind, config.Accepted)
	live, err := h.StateBytes(t.Context())
	is.NoErr(err)
	stop()
	t.Logf("%d changes in %s; folder %d bytes, at most %d; live state %d bytes; in service after %s", count, took, size, largest, live, restart)
	is.True(restart < time.Second)
	is.True(max(size, largest) <= 4*live+segmentBytes)
}
