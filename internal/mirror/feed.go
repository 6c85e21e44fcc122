// Package mirror serves the configuration that an entry host has received to
// its peers. It also has the heartbeat service of the stand-in control hosts of
// package fleet, which serve the configuration through it as well. A real control
// host serves the configuration through package origin.
package mirror

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

// deltasPerUpdate bounds the deltas of one message.
const deltasPerUpdate = 100

// Feed serves the newest configuration to subscribers, which watch or pull it.
// It is safe for concurrent use.
type Feed struct {
	mu      sync.Mutex
	history *follow.History
	changed chan struct{}
}

// NewFeed returns a feed without a configuration that keeps at most limit
// deltas; zero means follow.DefaultMaxDeltas.
func NewFeed(limit int) *Feed {
	return &Feed{
		history: follow.NewHistory(limit),
		changed: make(chan struct{}),
	}
}

// Set makes state the newest configuration. The deltas lead to it from the
// previous one; without deltas, subscribers that are behind get a full copy.
func (f *Feed) Set(state *config.State, deltas []follow.Delta) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.history.Advance(state, deltas)
	close(f.changed)
	f.changed = make(chan struct{})
}

// Register serves the configuration on s.
func (f *Feed) Register(s *link.Server) {
	link.HandleStream(s, proto.MethodWatch, f.watch)
	link.HandleStream(s, proto.MethodPull, f.pull)
	link.Handle(s, proto.MethodVersion, f.version)
}

// cursor is the version and digest that one subscriber has.
type cursor struct {
	have   ident.ConfigVersion
	digest uint64
}

// nextUpdates returns the messages that bring the subscriber up to date, the
// version of the newest configuration, and a channel that is closed on the next
// change. It moves the cursor to the newest configuration.
func (f *Feed) nextUpdates(c *cursor) (updates []*proto.Update, version ident.ConfigVersion, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.history.State()
	if state == nil {
		return nil, version, f.changed
	}
	deltas, full := f.history.Since(c.have, c.digest)
	if full != nil {
		for _, part := range proto.SplitCopy(full) {
			updates = append(updates, &proto.Update{
				Version: state.Version,
				Part:    part,
			})
		}
	}
	for len(deltas) > 0 {
		n := min(len(deltas), deltasPerUpdate)
		updates = append(updates, &proto.Update{
			Version: state.Version,
			Deltas:  append([]follow.Delta(nil), deltas[:n]...),
		})
		deltas = deltas[n:]
	}
	if len(updates) > 0 {
		c.have, c.digest = state.Version, state.Digest
	}
	return updates, state.Version, f.changed
}

// watch keeps one subscriber up to date until ctx ends. It also sends the version
// every follow.HeartbeatInterval, so that the subscriber notices when this source
// is unresponsive.
func (f *Feed) watch(ctx context.Context, in *proto.Watch, send func(*proto.Update) error) error {
	c := cursor{
		have:   in.Have,
		digest: in.Digest,
	}
	heartbeat := time.NewTicker(follow.HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		updates, version, changed := f.nextUpdates(&c)
		for _, u := range updates {
			if err := send(u); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-heartbeat.C:
			if err := send(&proto.Update{Version: version}); err != nil {
				return err
			}
		}
	}
}

func (f *Feed) pull(_ context.Context, in *proto.Pull, send func(*proto.Update) error) error {
	updates, _, _ := f.nextUpdates(&cursor{
		have:   in.Have,
		digest: in.Digest,
	})
	for _, u := range updates {
		if err := send(u); err != nil {
			return err
		}
	}
	return nil
}

func (f *Feed) version(context.Context, *proto.VersionQuery) (*proto.VersionAnswer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.history.State()
	if state == nil {
		return &proto.VersionAnswer{}, nil
	}
	return &proto.VersionAnswer{
		Version: state.Version,
		Digest:  state.Digest,
	}, nil
}
