// Package origin serves the configuration of a control host, as applied from the
// replicated log, to subscribers: deltas if they are still kept and the
// subscriber's digest matches, else a full copy in parts. Entry hosts serve it on
// to their peers through package mirror.
package origin

import (
	"context"
	"sync"
	"time"

	"github.com/jujubethread/jujubethread/internal/link"
	"github.com/jujubethread/jujubethread/internal/proto"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/follow"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Feed shares the applied configuration with the goroutines that serve
// subscribers. The state is immutable, and elements of deltas are never
// overwritten. The state is nil on a host that joins a group until it has received
// the state of the group.
type Feed struct {
	mu      sync.Mutex
	state   *config.State
	deltas  []follow.Delta
	stale   bool
	changed chan struct{}
}

// New returns a feed without a configuration.
func New() *Feed { return &Feed{changed: make(chan struct{})} }

// Set publishes a state and the deltas that led to it. The caller must not
// modify either of them afterwards.
func (f *Feed) Set(s *config.State, deltas []follow.Delta) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s == f.state {
		return
	}
	f.state, f.deltas = s, deltas
	close(f.changed)
	f.changed = make(chan struct{})
}

// SetStale sets whether this host has lost the leader, so that its state may not
// be the newest.
func (f *Feed) SetStale(stale bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if stale && !f.stale {
		close(f.changed)
		f.changed = make(chan struct{})
	}
	f.stale = stale
}

func (f *Feed) isStale() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stale
}

// current returns the current state, the deltas that led to it, and a channel that
// is closed on the next change.
func (f *Feed) current() (*config.State, []follow.Delta, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state, f.deltas, f.changed
}

// cursor is the version and digest that one subscriber has.
type cursor struct {
	have   ident.ConfigVersion
	digest uint64
}

// updates returns the messages that bring the subscriber to state s: the deltas
// after its version, or a full copy in parts if these are no longer kept or its
// digest differs. It returns none for a subscriber that is up to date or ahead.
func (c *cursor) updates(s *config.State, deltas []follow.Delta) []*proto.Update {
	if s == nil || s.Version.Less(c.have) || c.have == s.Version && c.digest == s.Digest {
		return nil
	}
	missing, ok := deltasAfter(c.have, c.digest, deltas)
	c.have, c.digest = s.Version, s.Digest
	if !ok {
		return fullCopy(s)
	}
	var list []*proto.Update
	for len(missing) > 0 {
		n := min(len(missing), deltasPerUpdate)
		list = append(list, &proto.Update{
			Version: s.Version,
			Deltas:  missing[:n],
		})
		missing = missing[n:]
	}
	return list
}

// deltasAfter returns the deltas that follow version v. It reports false if v is
// not in deltas, has another digest or is the last one.
func deltasAfter(v ident.ConfigVersion, digest uint64, deltas []follow.Delta) ([]follow.Delta, bool) {
	for i := len(deltas) - 1; i >= 0; i-- {
		if deltas[i].Version == v {
			return deltas[i+1:], deltas[i].Digest == digest && i+1 < len(deltas)
		}
	}
	return nil, false
}

func fullCopy(s *config.State) []*proto.Update {
	var list []*proto.Update
	for _, part := range proto.SplitCopy(s) {
		list = append(list, &proto.Update{
			Version: s.Version,
			Part:    part,
		})
	}
	return list
}

// Watch keeps one subscriber up to date until ctx ends. It also sends the version
// every follow.HeartbeatInterval, so that the subscriber notices when this source
// is unresponsive.
func (f *Feed) Watch(ctx context.Context, in *proto.Watch, send func(*proto.Update) error) error {
	c := cursor{
		have:   in.Have,
		digest: in.Digest,
	}
	heartbeat := time.NewTicker(follow.HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		state, deltas, changed := f.current()
		for _, u := range c.updates(state, deltas) {
			if err := send(u); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
			if !f.isStale() {
				continue
			}
		case <-heartbeat.C:
		}
		if state == nil {
			continue
		}
		if err := send(&proto.Update{
			Version: state.Version,
			Stale:   f.isStale(),
		}); err != nil {
			return err
		}
	}
}

// Pull sends one subscriber the updates to the current state and returns.
func (f *Feed) Pull(_ context.Context, in *proto.Pull, send func(*proto.Update) error) error {
	c := cursor{
		have:   in.Have,
		digest: in.Digest,
	}
	state, deltas, _ := f.current()
	for _, u := range c.updates(state, deltas) {
		if err := send(u); err != nil {
			return err
		}
	}
	return nil
}

// Version returns the current version and digest, or zero before the first state.
func (f *Feed) Version(context.Context, *proto.VersionQuery) (*proto.VersionAnswer, error) {
	state, _, _ := f.current()
	if state == nil {
		return &proto.VersionAnswer{}, nil
	}
	return &proto.VersionAnswer{
		Version: state.Version,
		Stale:   f.isStale(),
		Digest:  state.Digest,
	}, nil
}

// Register serves the configuration on s.
func (f *Feed) Register(s *link.Server) {
	link.HandleStream(s, proto.MethodWatch, f.Watch)
	link.HandleStream(s, proto.MethodPull, f.Pull)
	link.Handle(s, proto.MethodVersion, f.Version)
}
