package ledger

import "github.com/jujubethread/jujubethread/pkg/ident"

// Stamp is a replicated timestamp in nanoseconds since 1970, which the control
// leader sets in each command it proposes; see Clock. The ledger treats a stamp
// below the highest that it has seen as if it were equal to that one.
type Stamp int64

// BodyHash is the SHA-256 hash of the body of a filing. It detects a request id
// that is used again for another filing.
type BodyHash [32]byte

// Command is one command of the replicated log that changes the ledger.
//
//sumtype:decl
type Command interface{ isCommand() }

// Reserve requests the right to send a filing once. It may be repeated if its
// answer was lost: the same Host and Attempt get the same grant again.
type Reserve struct {
	Request  ident.RequestID `json:"Request"`
	BodyHash BodyHash        `json:"BodyHash"`
	Host     ident.HostID    `json:"Host"`
	// Attempt numbers the reservation attempts of the host. A Reserve that is
	// repeated has the same number; a new attempt, as for a filing that the
	// caller sent again, has another.
	Attempt uint64 `json:"Attempt"`
	At      Stamp  `json:"At"`
}

// Complete records that the filing sent under Fence ran, with its receipt.
type Complete struct {
	Request ident.RequestID `json:"Request"`
	Fence   uint64          `json:"Fence"`
	Receipt string          `json:"Receipt"`
	At      Stamp           `json:"At"`
}

// Release ends a reservation because the filing provably did not run.
type Release struct {
	Request ident.RequestID `json:"Request"`
	Fence   uint64          `json:"Fence"`
	At      Stamp           `json:"At"`
}

// Expire advances the time of the ledger to At. Like every command, it thereby
// turns overdue reservations into Unknown and deletes finished filings whose
// retention has passed; the leader proposes it so that this also happens while
// no filings arrive.
type Expire struct {
	At Stamp `json:"At"`
}

// Resolve is an operator's decision about an Unknown filing.
type Resolve struct {
	Request ident.RequestID `json:"Request"`
	// Status is Done or NotRun.
	Status  Status `json:"Status"`
	Receipt string `json:"Receipt"`
	At      Stamp  `json:"At"`
	// Fence is that of the reservation which the decision is about, so that a late copy
	// does not decide on a later one. Commands of the release before have none, and
	// decide on any.
	Fence uint64 `json:"Fence,omitempty"`
}

func (Reserve) isCommand()  {}
func (Complete) isCommand() {}
func (Release) isCommand()  {}
func (Expire) isCommand()   {}
func (Resolve) isCommand()  {}

// Status is the state of a filing.
type Status string

// The states of a filing.
const (
	// Reserved: an entry host may be sending the filing.
	Reserved Status = "Reserved"
	// Done: the filing ran.
	Done Status = "Done"
	// NotRun: the filing did not run. It may be reserved again.
	NotRun Status = "NotRun"
	// Unknown: no outcome arrived in time, so the filing may have run. It ends
	// by a late outcome or an operator's Resolve.
	Unknown Status = "Unknown"
)

// ResultKind is the kind of result of a command.
type ResultKind string

// The kinds of result.
const (
	// Granted allows one send under Fence.
	Granted ResultKind = "Granted"
	// Recorded says that the filing already has a status, which the result
	// carries.
	Recorded ResultKind = "Recorded"
	// InFlight says that the filing is reserved for another host or attempt.
	InFlight ResultKind = "InFlight"
	// BodyDiffers says that the request id belongs to a filing with another
	// body.
	BodyDiffers ResultKind = "BodyDiffers"
	// Full says that the ledger group has reached its limit of filings and
	// cannot delete any of them yet.
	Full ResultKind = "Full"
	// Applied says that Complete, Release, Expire or Resolve took effect, now
	// or when it was run before.
	Applied ResultKind = "Applied"
	// Refused says that the command does not fit the state of the filing.
	Refused ResultKind = "Refused"
)

// Result is the result of a command.
type Result struct {
	Kind ResultKind `json:"Kind"`
	// Fence is the fence of the reservation. It is set in results of kind
	// Granted, and of kind Recorded if the same attempt made the reservation.
	Fence uint64 `json:"Fence,omitempty"`
	// Status and Receipt are those of the filing, in results of kind Recorded.
	Status  Status `json:"Status,omitempty"`
	Receipt string `json:"Receipt,omitempty"`
	// Remedy tells the sender what to do next. It is empty in results of kind
	// Granted and Applied.
	Remedy string `json:"Remedy,omitempty"`
}
