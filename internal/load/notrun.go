package load

import (
	"context"
	"time"

	"github.com/jujubethread/jujubethread/internal/check"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// notRunSearch is a search that was answered NotRun.
type notRunSearch struct {
	id    ident.RequestID
	index ident.Index
	at    time.Time
}

const (
	notRunInterval = time.Second
	// notRunMinAge is the age at which an answer NotRun is verified. An attempt
	// that was sent in spite of the answer has reached its upstream by then.
	notRunMinAge = time.Second
	maxNotRunIDs = 5_000 // ids per index and check; further ones are not verified
)

// pollNotRun checks periodically, since the upstreams remember only their
// latest searches. A check that fails is skipped; the last one, after the load,
// must succeed.
func (d *driver) pollNotRun(ctx context.Context) error {
	tick := time.NewTicker(notRunInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			_ = d.checkNotRun(ctx, time.Now().Add(-notRunMinAge))
		}
	}
}

// checkNotRun reports a violation for each search that was answered NotRun no
// later than before although an upstream ran it.
func (d *driver) checkNotRun(ctx context.Context, before time.Time) error {
	byIndex := make(map[ident.Index][]ident.RequestID)
	d.mu.Lock()
	n := 0
	for n < len(d.notRun) && !d.notRun[n].at.After(before) {
		r := d.notRun[n]
		if len(byIndex[r.index]) < maxNotRunIDs {
			byIndex[r.index] = append(byIndex[r.index], r.id)
		}
		n++
	}
	d.notRun = d.notRun[n:]
	d.mu.Unlock()
	for index, ids := range byIndex {
		ran, err := d.remote.RanSearches(ctx, index, ids)
		if err != nil {
			return err
		}
		var violations []check.Violation
		for _, id := range ran {
			violations = append(violations, check.Violation{
				Kind:    check.FalseNotRun,
				Request: id,
				Detail:  "was answered NotRun but an upstream ran it",
			})
		}
		d.rec.AddViolations(violations)
	}
	return nil
}
