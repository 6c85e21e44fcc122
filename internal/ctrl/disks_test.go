package ctrl_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/ctrl"
	"github.com/jujubethread/jujubethread/internal/store"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// The ways in which a disk without room fails.
const (
	failWrites  = iota // no byte is written
	failPartly         // half of the bytes are written
	failSyncs          // the bytes do not reach the disk
	failCreates        // nor can files be created or renamed
	failModes
)

// sizedDisk is a Disk without room while full is set.
type sizedDisk struct {
	store.Disk
	full *atomic.Bool
	mode int
}

type sizedFile struct {
	store.File
	disk sizedDisk
}

func (d sizedDisk) fails(modes ...int) bool {
	for _, m := range modes {
		if d.mode == m && d.full.Load() {
			return true
		}
	}
	return false
}

func (d sizedDisk) Create(name string) (store.File, error) {
	if d.fails(failCreates) {
		return nil, syscall.ENOSPC
	}
	f, err := d.Disk.Create(name)
	return sizedFile{f, d}, err
}

func (d sizedDisk) OpenTruncated(name string, size int64) (store.File, error) {
	f, err := d.Disk.OpenTruncated(name, size)
	return sizedFile{f, d}, err
}

func (d sizedDisk) Rename(from, to string) error {
	if d.fails(failCreates) {
		return syscall.ENOSPC
	}
	return d.Disk.Rename(from, to)
}

func (f sizedFile) Write(p []byte) (int, error) {
	switch {
	case f.disk.fails(failPartly):
		n, _ := f.File.Write(p[:len(p)/2])
		return n, syscall.ENOSPC
	case f.disk.fails(failWrites, failCreates):
		return 0, syscall.ENOSPC
	}
	return f.File.Write(p)
}

func (f sizedFile) Sync() error {
	if f.disk.fails(failSyncs) {
		return syscall.ENOSPC
	}
	return f.File.Sync()
}

// Guards against a group that no longer accepts changes, or a member that stays
// behind, after the disks of all members have been full in turn, never two at once.
func TestDisksFullInTurn(t *testing.T) {
	const (
		members   = 3
		rounds    = 2
		full      = 1200 * time.Millisecond
		ackWithin = 5 * time.Second
	)
	for mode := range failModes {
		t.Run(fmt.Sprint("mode ", mode), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			disks := make([]*atomic.Bool, members)
			g := newGroup(t, members, nil, func(i int, cfg *ctrl.Config) {
				disks[i] = &atomic.Bool{}
				cfg.FS = sizedDisk{
					full: disks[i],
					mode: mode,
				}
				cfg.SegmentBytes, cfg.SnapshotBytes = 2<<10, 4<<10
			})
			ctx, cancel := context.WithCancel(t.Context())
			var accepted atomic.Int64
			var operators sync.WaitGroup
			for i := range members {
				operators.Go(func() {
					for n := 0; ctx.Err() == nil; n++ {
						out := g.hosts[i].Command(ctx, config.Command{
							ID:     ident.CommandID(fmt.Sprintf("c-%d-%d", i, n)),
							Expect: g.status(i).Version,
							Change: config.SetSeats{Seats: 1 + n%50},
						})
						if out.Kind == config.Accepted {
							accepted.Add(1)
						}
						time.Sleep(5 * time.Millisecond)
					}
				})
			}
			for range rounds {
				for _, disk := range disks {
					time.Sleep(300 * time.Millisecond)
					disk.Store(true)
					time.Sleep(full)
					disk.Store(false)
				}
			}
			cancel()
			operators.Wait()
			is.True(accepted.Load() > 0)
			// A follower may not yet have applied the change that it has passed on.
			var last ident.ConfigVersion
			for i := range members {
				took := g.await(ackWithin, fmt.Sprintf("a change through host %d", i), func() bool {
					out := g.hosts[i].Command(t.Context(), config.Command{
						ID:     ident.CommandID(fmt.Sprintf("last-%d-%d", i, time.Now().UnixNano())),
						Expect: g.status(i).Version,
						Change: config.SetSeats{Seats: 90 + i},
					})
					last = out.Version
					return out.Kind == config.Accepted
				})
				t.Logf("host %d: change accepted after %s, %d before", i, took, accepted.Load())
			}
			g.await(ackWithin, "all members are up to date", func() bool {
				for i := range members {
					if g.status(i).Version != last {
						return false
					}
				}
				return true
			})
		})
	}
}
