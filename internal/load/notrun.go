package load

import (
	"context"
	"time"

	"github.com/jujubethread/jujubethread/internal/check"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// refusal is a search that was answered NotRun.
type refusal struct {
	id    ident.RequestID
	index ident.Index
	at    time.Time
}

const (
	refusalInterval = time.Second
	// refusalAge lets what was sent nevertheless reach the upstreams first.
	refusalAge     = time.Second
	maxRefusalsAsk = 5_000 // ids asked for at once; further ones are left out
)

// checkRefusals asks the upstreams again and again, since they remember only
// the last searches. A round that fails is left out; the last one is made
// after the load and must succeed.
func (d *driver) checkRefusals(ctx context.Context) error {
	tick := time.NewTicker(refusalInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			_ = d.checkRefused(ctx, time.Now().Add(-refusalAge))
		}
	}
}

// checkRefused asks whether searches that were refused before a time ran.
func (d *driver) checkRefused(ctx context.Context, before time.Time) error {
	byIndex := make(map[ident.Index][]ident.RequestID)
	d.mu.Lock()
	n := 0
	for n < len(d.refused) && !d.refused[n].at.After(before) {
		r := d.refused[n]
		if len(byIndex[r.index]) < maxRefusalsAsk {
			byIndex[r.index] = append(byIndex[r.index], r.id)
		}
		n++
	}
	d.refused = d.refused[n:]
	d.mu.Unlock()
	for index, ids := range byIndex {
		ran, err := d.remote.Ran(ctx, index, ids)
		if err != nil {
			return err
		}
		var found []check.Violation
		for _, id := range ran {
			found = append(found, check.Violation{
				Kind:    check.FalseNotRun,
				Request: id,
				Detail:  "was answered NotRun but an upstream ran it",
			})
		}
		d.rec.Violate(found)
	}
	return nil
}
