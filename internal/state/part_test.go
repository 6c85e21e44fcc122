package state_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/state"
)

// fakePart is a part that holds the bytes of its last command.
type fakePart struct {
	name     string
	data     []byte
	restored int
}

func (p *fakePart) Name() string { return p.name }

func (p *fakePart) Apply(command []byte) ([]byte, error) {
	p.data = command
	return nil, nil
}

func (p *fakePart) Freeze() func() ([]byte, error) {
	data := p.data
	return func() ([]byte, error) { return data, nil }
}

func (p *fakePart) Restore(data []byte) error {
	p.data, p.restored = data, p.restored+1
	return nil
}

// Guards against a release with a further part that cannot restore the snapshots of the
// release before, and against snapshots that the release before cannot restore although
// the part has not been used.
func TestSnapshotsWithAndWithoutAPart(t *testing.T) {
	is := is.New(t)
	before, known := &fakePart{name: "known", data: []byte{1}}, &fakePart{name: "known"}
	raw, err := state.NewSet(before).Freeze()()
	is.NoErr(err)
	further := &fakePart{name: "further"}
	next := state.NewSet(known, further)
	is.NoErr(next.Restore(raw))
	is.Equal(known.data, []byte{1})
	is.Equal(further.restored, 0)

	raw, err = next.Freeze()()
	is.NoErr(err)
	is.NoErr(state.NewSet(before).Restore(raw)) // the part has not been used
	is.Equal(before.restored, 1)

	further.data = []byte{2}
	raw, err = next.Freeze()()
	is.NoErr(err)
	is.True(state.NewSet(before).Restore(raw) != nil) // nothing is lost without a word
	again := &fakePart{name: "further"}
	is.NoErr(state.NewSet(&fakePart{name: "known"}, again).Restore(raw))
	is.Equal(again.data, []byte{2})
}
