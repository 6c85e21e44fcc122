package ctrl_test

import (
	"encoding/binary"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/ctrl"
	"github.com/jujubethread/jujubethread/internal/state"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// counter is a part that counts its commands. It has no state before the first one.
type counter struct {
	count uint64
	// seen is the count for readers in other goroutines.
	seen atomic.Uint64
}

func (c *counter) Name() string { return "counter" }

func (c *counter) Apply(quorum.Index, []byte) ([]byte, error) {
	c.set(c.count + 1)
	return nil, nil
}

func (c *counter) Freeze() func() ([]byte, error) {
	count := c.count
	return func() ([]byte, error) {
		if count == 0 {
			return nil, nil
		}
		return binary.AppendUvarint(nil, count), nil
	}
}

func (c *counter) Restore(_ quorum.Index, data []byte) error {
	count, _ := binary.Uvarint(data)
	c.set(count)
	return nil
}

func (c *counter) Reset() { c.set(0) }

func (c *counter) set(count uint64) {
	c.count = count
	c.seen.Store(count)
}

// Guards against a member that applies its log to the state that it already has, after
// its disk was full: its copy of a part then differs from that of all others, for good.
func TestPartsAgreeAfterFullDisks(t *testing.T) {
	const (
		members  = 3
		commands = 5
		full     = 1200 * time.Millisecond
		within   = 10 * time.Second
	)
	is := is.New(t)
	disks, parts := make([]*atomic.Bool, members), make([]*counter, members)
	g := newGroup(t, members, nil, func(i int, cfg *ctrl.Config) {
		disks[i], parts[i] = &atomic.Bool{}, &counter{}
		cfg.FS = sizedDisk{full: disks[i]}
		cfg.Parts = []state.Part{parts[i]}
	})
	submit := func(to int) {
		g.await(within, "a command is accepted", func() bool {
			a := g.hosts[to].Submit(t.Context(), ctrl.Request{Command: &state.Command{Part: "counter"}})
			return a.Kind == config.Accepted
		})
	}
	sameLog := func() bool {
		first, err := g.hosts[0].Quorum(t.Context())
		is.NoErr(err)
		for _, h := range g.hosts {
			s, err := h.Quorum(t.Context())
			is.NoErr(err)
			if s.Failed || s.Applied != first.Last {
				return false
			}
		}
		return true
	}
	for i, disk := range disks {
		for range commands {
			submit((i + 1) % members)
		}
		disk.Store(true)
		submit((i + 1) % members) // its write fails on the full disk
		time.Sleep(full)
		disk.Store(false)
		g.await(within, fmt.Sprintf("member %d has applied the log again", i), sameLog)
		for _, p := range parts {
			is.Equal(p.seen.Load(), parts[0].seen.Load())
		}
	}
	is.True(parts[0].seen.Load() >= members*(commands+1))
}
