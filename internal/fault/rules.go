package fault

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Rules are the faults that a proxy injects. The zero value forwards everything
// unchanged.
type Rules struct {
	// Forward applies to the bytes from the client to the target, Backward to
	// those from the target to the client.
	Forward  Path `json:"Forward"`
	Backward Path `json:"Backward"`
	// RefuseFraction is the share of new connections that are reset when they
	// are accepted, from 0 to 1.
	RefuseFraction float64 `json:"RefuseFraction,omitempty"`
	// ReorderMicros is the upper bound of a random delay that stays constant
	// for the lifetime of a connection, so that data sent on different
	// connections arrives in another order.
	ReorderMicros int64 `json:"ReorderMicros,omitempty"`
}

// Path are the faults of one direction of a connection.
type Path struct {
	// DelayMicros is the one-way latency. A random delay of up to JitterMicros,
	// uniformly distributed, is added to it. Bytes of one connection keep their
	// order.
	DelayMicros  int64 `json:"DelayMicros,omitempty"`
	JitterMicros int64 `json:"JitterMicros,omitempty"`
	// Blackhole delays all bytes and the end of the stream, without an error on
	// either side. They are delivered when the blackhole ends, as TCP would
	// retransmit them.
	Blackhole bool `json:"Blackhole,omitempty"`
	// DropFraction is the probability, from 0 to 1, that a chunk read from a
	// connection resets it, since a TCP stream cannot lose bytes and continue.
	DropFraction float64 `json:"DropFraction,omitempty"`
	// BytesPerSecond limits the rate of each connection; 0 means no limit.
	BytesPerSecond int64 `json:"BytesPerSecond,omitempty"`
}

const (
	maxDelayMicros  = 600_000_000
	chunkBytes      = 32 << 10
	maxQueuedChunks = 64 // per direction of a connection
	dialTimeout     = 5 * time.Second
)

// Check returns an error that names the first invalid field and its valid
// range.
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
