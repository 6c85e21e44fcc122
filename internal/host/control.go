package host

import (
	"context"
	"time"

	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/gossip"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/ledger"
)

// Control is the host's client of the control hosts.
type Control interface {
	// Configs delivers each configuration that becomes active, the newest last.
	Configs() <-chan *config.State
	// Seats delivers each change of the host's connection seat.
	Seats() <-chan engine.Seat
	// Report passes on the demand for upstreams with a limit, in place of an
	// earlier one that was not sent yet. It does not block.
	Report(r engine.Report)
	// Grants delivers the newest answer to a Report.
	Grants() <-chan engine.ShareGranted
	// Tell spreads a fact to the other entry hosts. It does not block.
	Tell(f gossip.Sent)
	// Facts delivers what other entry hosts tell.
	Facts() <-chan []gossip.Sent
	// File reserves a filing, sends it by calling send, and records its outcome.
	// It calls send at most once for each fence, and again only after a send
	// that provably did not run. It returns when the caller can be answered, at
	// the latest when ctx is done.
	File(ctx context.Context, f Filing, send SendFiling) FilingResult
}

// Filing identifies a filing that must run at most once.
type Filing struct {
	Request  ident.RequestID
	BodyHash ledger.BodyHash
	// Budget is the time in which the caller must be answered.
	Budget time.Duration
}

// SendFiling sends a filing to an upstream. The kind is empty if the filing ran.
// If nothing was sent, it is a kind that means provably not run, such as Refused.
// After a kind such as Broken or TimedOut the filing may have run.
type SendFiling func(ctx context.Context, permit SendPermit) (receipt string, kind engine.FailKind)

// SendPermit is the permission to send a filing once.
type SendPermit struct {
	Fence uint64
	// Earlier is the number of previous sends, all of which provably did not run.
	Earlier int
	// Until is the latest time at which the filing may be sent.
	Until time.Time
	// Deadline is the time by which the caller must be answered.
	Deadline time.Time
}

// FilingResult is the answer to a filing's caller.
type FilingResult struct {
	// Outcome is Done, NotRun or Unknown.
	Outcome engine.Outcome
	Receipt string
	// BodyDiffers is true if the id was used before with another body.
	BodyDiffers bool
	// Remedy says what the caller can do. Empty if the outcome is Done.
	Remedy string
}
