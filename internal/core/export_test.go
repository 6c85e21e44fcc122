package core

import (
	"context"
	"log/slog"

	"github.com/jujubethread/jujubethread/internal/proto"
	"github.com/jujubethread/jujubethread/internal/state"
	"github.com/jujubethread/jujubethread/internal/watch"
	"github.com/jujubethread/jujubethread/pkg/evac"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// Status returns this member's view of the group.
func (c *Core) Status(ctx context.Context) (quorum.Status, bool) { return c.status(ctx) }

// NewEvacuationPart returns the replicated part of a member that distributes its set
// by a board.
func NewEvacuationPart(w *watch.State) state.Part {
	return &evacuationPart{
		watchState: w,
		log:        slog.New(slog.DiscardHandler),
	}
}

// OrderCommand returns the command for an order.
func OrderCommand(o evac.Order) ([]byte, error) {
	return proto.Marshal(evacuationCommand{Order: &o})
}

// EvacuationCommand returns the command of the release before that starts or ends an
// evacuation.
func EvacuationCommand(start bool, d ident.Domain) ([]byte, error) {
	if start {
		return proto.Marshal(evacuationCommand{Start: d})
	}
	return proto.Marshal(evacuationCommand{End: d})
}
