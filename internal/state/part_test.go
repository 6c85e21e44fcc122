package state_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/state"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// fakePart is a part that holds the bytes of its last command.
type fakePart struct {
	name     string
	data     []byte
	restored int
}

func (p *fakePart) Name() string { return p.name }

func (p *fakePart) Apply(_ quorum.Index, command []byte) ([]byte, error) {
	p.data = command
	return nil, nil
}

func (p *fakePart) Freeze() func() ([]byte, error) {
	data := p.data
	return func() ([]byte, error) { return data, nil }
}

func (p *fakePart) Restore(_ quorum.Index, data []byte) error {
	p.data, p.restored = data, p.restored+1
	return nil
}

func (p *fakePart) Reset() { p.data = nil }

// Guards against a release with a further part that cannot restore the snapshots of the
// release before, and against snapshots that the release before cannot restore although
// the part has not been used.
func TestSnapshotsWithAndWithoutAPart(t *testing.T) {
	is := is.New(t)
	before, known := &fakePart{name: "known"}, &fakePart{name: "known"}
	old := state.NewSet(before)
	before.data = []byte{1}
	raw, err := old.Freeze()()
	is.NoErr(err)
	further := &fakePart{name: "further"}
	next := state.NewSet(known, further)
	is.NoErr(next.Restore(1, raw))
	is.Equal(known.data, []byte{1})
	is.Equal(further.restored, 0)

	raw, err = next.Freeze()()
	is.NoErr(err)
	is.NoErr(state.NewSet(before).Restore(1, raw)) // the part has not been used
	is.Equal(before.restored, 1)

	further.data = []byte{2}
	raw, err = next.Freeze()()
	is.NoErr(err)
	is.True(state.NewSet(before).Restore(1, raw) != nil) // nothing is lost without a word
	again := &fakePart{name: "further"}
	is.NoErr(state.NewSet(&fakePart{name: "known"}, again).Restore(1, raw))
	is.Equal(again.data, []byte{2})
}

// Guards against a member that applies its log to the state that it had before a disk
// fault, or before a snapshot of the leader that was taken before the part was used.
func TestPartIsResetBeforeTheLogIsAppliedAgain(t *testing.T) {
	is := is.New(t)
	unused, err := state.NewSet(&fakePart{name: "further"}).Freeze()()
	is.NoErr(err)
	part := &fakePart{name: "further"}
	s := state.NewSet(part)
	part.data = []byte{1}
	is.NoErr(s.Restore(1, unused))
	is.Equal(len(part.data), 0)

	part.data = []byte{1}
	state.NewSet(part)
	is.Equal(len(part.data), 0)
}
