package host

import (
	"context"
	"time"

	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/ledger"
)

// Control is what a host needs of the control group.
type Control interface {
	// Configs delivers each configuration that comes into force, the newest last.
	Configs() <-chan *config.State
	// Seats delivers each change of the host's connection seat.
	Seats() <-chan engine.Seat
	// File reserves a filing, has it sent and records its outcome. It calls
	// send at most once for each fence, and again only after a send that
	// provably did not run. It returns when the caller is to be answered, at
	// the latest when ctx ends.
	File(ctx context.Context, f Filing, send SendFiling) FilingEnd
}

// Filing names a filing to run once.
type Filing struct {
	Request  ident.RequestID
	BodyHash ledger.BodyHash
	// Budget is the time until the caller must have an answer.
	Budget time.Duration
}

// SendFiling sends a filing to an upstream. The kind is empty when it ran; it
// is one that provably did not run, such as Refused, if nothing was sent.
type SendFiling func(ctx context.Context, order FilingOrder) (receipt string, kind engine.FailKind)

// FilingOrder is the permission to send a filing once.
type FilingOrder struct {
	Fence uint64
	// Earlier is the number of earlier sends, all of which provably did not run.
	Earlier int
	// Until is the last time at which the filing may be sent.
	Until time.Time
	// Deadline is when the caller must have an answer.
	Deadline time.Time
}

// FilingEnd is the answer to a filing's caller.
type FilingEnd struct {
	// Outcome is Done, NotRun or Unknown.
	Outcome engine.Outcome
	Receipt string
	// BodyDiffers tells that the id was used with another body.
	BodyDiffers bool
	// Remedy says what the caller can do. Empty when Done.
	Remedy string
}
