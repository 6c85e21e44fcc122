package ledger

import "github.com/jujubethread/jujubethread/pkg/ident"

// Stamp is a replicated timestamp in nanoseconds since 1970, proposed by the
// control leader with each command. The ledger raises a stamp that is lower
// than the highest one it has seen.
type Stamp int64

// BodyHash is the SHA-256 hash of the body of a filing.
type BodyHash [32]byte

// Command is one entry of the replicated log that concerns filings.
//
//sumtype:decl
type Command interface{ isCommand() }

// Reserve asks for the right to send a filing once. It may be repeated when
// its answer was lost: the same Host and Attempt get the same grant again.
type Reserve struct {
	Request  ident.RequestID `json:"Request"`
	BodyHash BodyHash        `json:"BodyHash"`
	Host     ident.HostID    `json:"Host"`
	// Attempt is unique per arrival of the filing at an entry host. It tells a
	// repeated Reserve from a caller's resend.
	Attempt uint64 `json:"Attempt"`
	At      Stamp  `json:"At"`
}

// Complete records the outcome of a filing that was sent under Fence.
type Complete struct {
	Request ident.RequestID `json:"Request"`
	Fence   uint64          `json:"Fence"`
	Receipt string          `json:"Receipt"`
	At      Stamp           `json:"At"`
}

// Release gives a reservation back because the filing provably did not run.
type Release struct {
	Request ident.RequestID `json:"Request"`
	Fence   uint64          `json:"Fence"`
	At      Stamp           `json:"At"`
}

// Expire turns reservations without an outcome into Unknown and forgets
// finished filings whose retention has passed.
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
}

func (Reserve) isCommand()  {}
func (Complete) isCommand() {}
func (Release) isCommand()  {}
func (Expire) isCommand()   {}
func (Resolve) isCommand()  {}

// Status is the state of one filing.
type Status string

// The states of a filing. A NotRun filing may be reserved again.
const (
	Reserved Status = "Reserved"
	Done     Status = "Done"
	NotRun   Status = "NotRun"
	Unknown  Status = "Unknown"
)

// ResultKind is the kind of result of a command.
type ResultKind string

// The kinds of result.
const (
	// Granted allows one send under Fence.
	Granted ResultKind = "Granted"
	// Recorded carries the outcome that the filing already has.
	Recorded ResultKind = "Recorded"
	// InFlight says that another arrival of the filing holds the reservation.
	InFlight ResultKind = "InFlight"
	// BodyDiffers says that the id was used with another body.
	BodyDiffers ResultKind = "BodyDiffers"
	// Full says that the group holds as many live ids as it may.
	Full ResultKind = "Full"
	// Applied says that Complete, Release, Expire or Resolve took effect, now
	// or when it was first applied.
	Applied ResultKind = "Applied"
	// Refused says that the command does not fit the state of the filing.
	Refused ResultKind = "Refused"
)

// Result is the result of a command.
type Result struct {
	Kind ResultKind `json:"Kind"`
	// Fence is the number of the reservation, in results of kind Granted, and
	// of kind Recorded if the reservation was made by the same attempt.
	Fence uint64 `json:"Fence,omitempty"`
	// Status and Receipt are the outcome, in results of kind Recorded.
	Status  Status `json:"Status,omitempty"`
	Receipt string `json:"Receipt,omitempty"`
	// Remedy says what the sender can do. Empty when Granted or Applied.
	Remedy string `json:"Remedy,omitempty"`
}
