package core

import (
	"log/slog"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/proto"
	"github.com/jujubethread/jujubethread/internal/state"
	"github.com/jujubethread/jujubethread/internal/watch"
	"github.com/jujubethread/jujubethread/pkg/board"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// documentPartName is the name of the replicated part in commands and snapshots.
const documentPartName = "document"

// documentCommand stores a document or reads the active one. A read goes
// through the log like a change, so that it never returns an older document
// than one that was acknowledged before.
type documentCommand struct {
	Store *board.Document `cbor:",omitempty"`
	Read  bool            `cbor:",omitempty"`
}

// documentPart replicates the active document: the one with the highest version.
type documentPart struct {
	active     board.Document
	watchState *watch.State
	log        *slog.Logger
}

var _ state.Part = (*documentPart)(nil)

// Name implements state.Part.
func (p *documentPart) Name() string { return documentPartName }

// Apply implements state.Part. The result of a read is the active document.
func (p *documentPart) Apply(_ quorum.Index, command []byte) ([]byte, error) {
	var c documentCommand
	if err := proto.Unmarshal(command, &c); err != nil {
		return nil, errors.Wrap(err, "document command cannot be decoded: update this host")
	}
	if c.Store != nil && c.Store.Version > p.active.Version {
		p.active = *c.Store
		p.distribute()
	}
	if !c.Read {
		return nil, nil
	}
	return proto.Marshal(p.active)
}

// Freeze implements state.Part.
func (p *documentPart) Freeze() func() ([]byte, error) {
	active := p.active
	return func() ([]byte, error) { return proto.Marshal(active) }
}

// Restore implements state.Part.
func (p *documentPart) Restore(_ quorum.Index, data []byte) error {
	var d board.Document
	if err := proto.Unmarshal(data, &d); err != nil {
		return err
	}
	p.active = d
	p.distribute()
	return nil
}

// Reset implements state.Part.
func (p *documentPart) Reset() { p.active = board.Document{} }

// distribute passes the active document to the hosts that poll this one.
func (p *documentPart) distribute() {
	if p.watchState.SetDocument(p.active) {
		p.log.Info("configuration was received", "Version", p.active.Version, "Source", documentPartName)
	}
}
