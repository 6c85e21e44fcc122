package core

import (
	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/proto"
	"github.com/jujubethread/jujubethread/internal/state"
	"github.com/jujubethread/jujubethread/internal/watch"
)

// documentName names the replicated part.
const documentName = "document"

// documentCommand stores a document, or only reads the one in force if it
// carries none. A read goes through the log like a change, so that it never
// returns an older document than one that was acknowledged before.
type documentCommand struct {
	Store *watch.Document `cbor:",omitempty"`
	Read  bool            `cbor:",omitempty"`
}

// documentPart replicates the document in force: the one with the highest version.
type documentPart struct {
	held  watch.Document
	board *watch.State
}

var _ state.Part = (*documentPart)(nil)

// Name implements state.Part.
func (p *documentPart) Name() string { return documentName }

// Apply implements state.Part. The result is the document in force for a read.
func (p *documentPart) Apply(command []byte) ([]byte, error) {
	var c documentCommand
	if err := proto.Unmarshal(command, &c); err != nil {
		return nil, errors.Wrap(err, "document command cannot be decoded: update this host")
	}
	if c.Store != nil && c.Store.Version > p.held.Version {
		p.held = *c.Store
		p.board.SetDocument(p.held)
	}
	if !c.Read {
		return nil, nil
	}
	return proto.Marshal(p.held)
}

// Freeze implements state.Part.
func (p *documentPart) Freeze() func() ([]byte, error) {
	held := p.held
	return func() ([]byte, error) { return proto.Marshal(held) }
}

// Restore implements state.Part.
func (p *documentPart) Restore(data []byte) error {
	var d watch.Document
	if err := proto.Unmarshal(data, &d); err != nil {
		return err
	}
	p.held = d
	p.board.SetDocument(d)
	return nil
}
