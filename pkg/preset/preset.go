package preset

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Name names a preset.
type Name string

// The presets that every deployment starts with.
const (
	Ordinary    Name = "ordinary"
	Peak        Name = "peak"
	Maintenance Name = "maintenance"
)

// Preset sets the limits of every class.
type Preset struct {
	Name Name `json:"Name"`
	// HedgePercent is the number of hedges allowed per 100 first attempts.
	HedgePercent float64 `json:"HedgePercent"`
	// RetryPercent is the number of retries allowed per 100 first attempts.
	RetryPercent float64 `json:"RetryPercent"`
	// SuppressPercent stops hedging for a query when more than this share of
	// its shards is late at once.
	SuppressPercent float64 `json:"SuppressPercent"`
	Critical        Limits  `json:"Critical"`
	Standard        Limits  `json:"Standard"`
	Tolerant        Limits  `json:"Tolerant"`
}

// Limits are the limits of one class.
type Limits struct {
	// DeadlineMillis bounds the whole answer; a caller may ask for less.
	DeadlineMillis ident.Millis `json:"DeadlineMillis"`
	// MinCoveragePercent is the coverage below which an answer is an error
	// instead of a partial answer.
	MinCoveragePercent float64 `json:"MinCoveragePercent"`
	// QueueBound is the number of queries of the class that may wait on one
	// entry host before further ones are refused as not run.
	QueueBound int `json:"QueueBound"`
	// ShedOrder decides who yields first under overload: higher yields first.
	ShedOrder int `json:"ShedOrder"`
	// Hedge allows hedges for the class.
	Hedge bool `json:"Hedge"`
}

// Limits returns the limits of class c.
func (p Preset) Limits(c Class) Limits {
	switch c {
	case Critical:
		return p.Critical
	case Standard:
		return p.Standard
	default:
		return p.Tolerant
	}
}

// InvalidError lists every fault of a preset document at once.
type InvalidError struct {
	Preset Name
	Faults []string
}

// Error names each fault and its remedy.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("preset %q is not valid: %s", e.Preset, strings.Join(e.Faults, "; "))
}

// Parse decodes a preset document. Unknown fields are rejected by name.
func Parse(doc []byte) (Preset, error) {
	var p Preset
	dec := json.NewDecoder(bytes.NewReader(doc))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&p); err != nil {
		return Preset{}, errors.Wrap(err, "preset document cannot be decoded: compare it with docs/preset.schema.json")
	}
	return p, p.Check()
}

// Check returns an *InvalidError that names every bad field, or nil.
func (p Preset) Check() error {
	var faults []string
	if p.Name == "" {
		faults = append(faults, "Name is empty: give the preset a name")
	}
	faults = append(faults, checkPercent("HedgePercent", p.HedgePercent)...)
	faults = append(faults, checkPercent("RetryPercent", p.RetryPercent)...)
	faults = append(faults, checkPercent("SuppressPercent", p.SuppressPercent)...)
	for _, c := range Classes {
		faults = append(faults, p.Limits(c).check(c)...)
	}
	if len(faults) == 0 {
		return nil
	}
	return &InvalidError{
		Preset: p.Name,
		Faults: faults,
	}
}

func (l Limits) check(c Class) []string {
	var faults []string
	if l.DeadlineMillis < 1 || l.DeadlineMillis > maxDeadlineMillis {
		faults = append(faults, fmt.Sprintf("%s.DeadlineMillis is %d: use 1 to %d", c, l.DeadlineMillis, maxDeadlineMillis))
	}
	if l.QueueBound < 0 || l.QueueBound > maxQueueBound {
		faults = append(faults, fmt.Sprintf("%s.QueueBound is %d: use 0 to %d", c, l.QueueBound, maxQueueBound))
	}
	return append(faults, checkPercent(c.String()+".MinCoveragePercent", l.MinCoveragePercent)...)
}

func checkPercent(field string, v float64) []string {
	if v >= 0 && v <= 100 {
		return nil
	}
	return []string{fmt.Sprintf("%s is %v: use 0 to 100", field, v)}
}
