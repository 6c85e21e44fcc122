package preset

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Name identifies a preset.
type Name string

// The names of the presets that every deployment starts with; see Defaults.
const (
	Ordinary    Name = "ordinary"
	Peak        Name = "peak"
	Maintenance Name = "maintenance"
)

// Preset holds the budgets for extra attempts, which all classes share, and the
// limits of each class.
type Preset struct {
	Name Name `json:"Name"`
	// HedgePercent is the hedging budget: the number of hedged requests allowed
	// per 100 first attempts.
	HedgePercent float64 `json:"HedgePercent"`
	// RetryPercent is the retry budget: the number of retries allowed per 100
	// first attempts.
	RetryPercent float64 `json:"RetryPercent"`
	// SuppressPercent is the percentage of late shards above which a query is
	// no longer hedged: hedges help against single slow upstreams, but add load
	// when many of them are slow.
	SuppressPercent float64 `json:"SuppressPercent"`
	Critical        Limits  `json:"Critical"`
	Standard        Limits  `json:"Standard"`
	Tolerant        Limits  `json:"Tolerant"`
}

// Limits holds the limits of one class.
type Limits struct {
	// DeadlineMillis is the longest time that a query may take, from its
	// arrival to its answer. A caller may set a shorter deadline.
	DeadlineMillis ident.Millis `json:"DeadlineMillis"`
	// MinCoveragePercent is the percentage of shards that should answer. The
	// remedy of a partial answer below it tells the caller so.
	MinCoveragePercent float64 `json:"MinCoveragePercent"`
	// QueueBound is the number of queries of the class that may wait on one
	// entry host. Further queries are refused with the outcome NotRun.
	QueueBound int `json:"QueueBound"`
	// ShedOrder ranks the classes for load shedding: the class with the highest
	// value is shed first.
	ShedOrder int `json:"ShedOrder"`
	// Hedge enables hedged requests for the class.
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

// InvalidError lists all invalid fields of a preset.
type InvalidError struct {
	Preset Name
	Faults []string
}

// Error returns the faults with their remedies on one line.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("preset %q is not valid: %s", e.Preset, strings.Join(e.Faults, "; "))
}

// Parse decodes a preset from JSON and checks it. A field that is not known is an
// error that names it.
func Parse(doc []byte) (Preset, error) {
	var p Preset
	dec := json.NewDecoder(bytes.NewReader(doc))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&p); err != nil {
		return Preset{}, errors.Wrap(err, "preset document cannot be decoded: compare it with docs/preset.schema.json")
	}
	return p, p.Check()
}

// Check returns an *InvalidError that lists all invalid fields, or nil.
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
