package host

import (
	"context"

	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Control is what a host needs of the control group.
type Control interface {
	// Configs delivers each configuration that comes into force, the newest last.
	Configs() <-chan *config.State
	// Seats delivers each change of the host's connection seat.
	Seats() <-chan engine.Seat
	// Reserve records a filing's id before anything is sent. An error means
	// that nothing was reserved, or that this is not known, and that nothing
	// may be sent.
	Reserve(ctx context.Context, f Filing) (Reservation, error)
	// Settle records the outcome of a reserved filing, or releases it.
	Settle(ctx context.Context, s Settlement) error
}

// Filing names a filing to reserve.
type Filing struct {
	Request  ident.RequestID
	Index    ident.Index
	BodyHash uint64
}

// ReservationKind says what Reserve found.
type ReservationKind string

// The kinds of reservation.
const (
	// Granted means that this host may send the filing once.
	Granted ReservationKind = "Granted"
	// Recorded means that the filing has an outcome already.
	Recorded ReservationKind = "Recorded"
	// Pending means that the id is reserved and has no outcome yet.
	Pending ReservationKind = "Pending"
	// BodyDiffers means that the id was used with another body.
	BodyDiffers ReservationKind = "BodyDiffers"
	// NoMajority means that the control group can reserve nothing now.
	NoMajority ReservationKind = "NoMajority"
)

// Reservation is the answer to Reserve.
type Reservation struct {
	Kind  ReservationKind
	Fence uint64
	// Outcome and Receipt are set when Recorded.
	Outcome engine.Outcome
	Receipt string
	// Remedy says what the caller can do when not Granted. Optional.
	Remedy string
}

// Settlement is the end of a reserved filing: Done with a receipt, NotRun to
// release the reservation, or Unknown.
type Settlement struct {
	Request ident.RequestID
	Fence   uint64
	Outcome engine.Outcome
	Receipt string
}
