package fault

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Rules say what a proxy does to its connections. The zero value passes
// everything on.
type Rules struct {
	// Forward holds for bytes from the dialling side to the target, Backward
	// for bytes to the dialling side.
	Forward  Path `json:"Forward"`
	Backward Path `json:"Backward"`
	// RefuseFraction of the new connections are reset at once.
	RefuseFraction float64 `json:"RefuseFraction,omitempty"`
	// ReorderMicros adds to each new connection a constant delay of up to
	// this, so that what is sent on different connections changes its order.
	ReorderMicros int64 `json:"ReorderMicros,omitempty"`
}

// Path says what happens to the bytes of one direction.
type Path struct {
	// DelayMicros is the one-way latency; JitterMicros is added to it evenly
	// distributed. Bytes of one connection keep their order.
	DelayMicros  int64 `json:"DelayMicros,omitempty"`
	JitterMicros int64 `json:"JitterMicros,omitempty"`
	// Blackhole holds all bytes and the end of the connection back without a
	// sign to either side. What was held arrives when it ends, as TCP would
	// send it again.
	Blackhole bool `json:"Blackhole,omitempty"`
	// DropFraction of the pieces that arrive break their connection, since a
	// TCP stream cannot lose bytes and go on.
	DropFraction float64 `json:"DropFraction,omitempty"`
	// BytesPerSecond limits the rate of each connection; 0 does not.
	BytesPerSecond int64 `json:"BytesPerSecond,omitempty"`
}

const (
	maxDelayMicros = 600_000_000
	pieceBytes     = 32 << 10
	piecesHeld     = 64 // pieces on their way in one direction of a connection
	dialTimeout    = 5 * time.Second
)

// Check returns an error that names the first bad field and its remedy.
func (r Rules) Check() error {
	if err := checkFraction("RefuseFraction", r.RefuseFraction); err != nil {
		return err
	}
	if err := checkMicros("ReorderMicros", r.ReorderMicros); err != nil {
		return err
	}
	if err := r.Forward.check("Forward"); err != nil {
		return err
	}
	return r.Backward.check("Backward")
}

func (p Path) check(name string) error {
	if err := checkMicros(name+".DelayMicros", p.DelayMicros); err != nil {
		return err
	}
	if err := checkMicros(name+".JitterMicros", p.JitterMicros); err != nil {
		return err
	}
	if p.BytesPerSecond < 0 {
		return errors.Errorf("%s.BytesPerSecond is %d: use 0 or more", name, p.BytesPerSecond)
	}
	return checkFraction(name+".DropFraction", p.DropFraction)
}

func checkFraction(field string, v float64) error {
	if v >= 0 && v <= 1 {
		return nil
	}
	return errors.Errorf("%s is %v: use 0 to 1", field, v)
}

func checkMicros(field string, v int64) error {
	if v >= 0 && v <= maxDelayMicros {
		return nil
	}
	return fmt.Errorf("%s is %d: use 0 to %d", field, v, maxDelayMicros)
}
