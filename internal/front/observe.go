package front

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/gauge"
	"github.com/jujubethread/jujubethread/pkg/gather"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
)

const (
	// sampleOne is the share of timely whole answers that are logged, one in
	// so many. The choice goes by the id, so all hosts log the same requests.
	sampleOne = 64

	// gaugeEvery is how often gauges are set.
	gaugeEvery = time.Second
)

// sampled reports whether a request that went well is logged.
func sampled(id ident.RequestID) bool { return gather.Hash(string(id))%sampleOne == 0 }

// observe counts the end of a query here and logs it: each that was refused,
// late or partial, and a sample of the others.
func (f *Front) observe(q *request, effect relay.Effect, calls, groups int) {
	took := f.now().Sub(q.begin)
	switch e := effect.(type) {
	case relay.Pass:
		f.gauge.Request(gauge.Passed, took)
		if sampled(q.id) {
			f.log.Info("query ends", "Request", string(q.id), "Outcome", "Passed", "TookMicros", took.Microseconds(), "Calls", calls)
		}
	case relay.Merge:
		outcome := gauge.Merged
		if e.Missing > 0 {
			outcome = gauge.Partial
		}
		f.gauge.Request(outcome, took)
		if e.Detail != nil || sampled(q.id) {
			f.log.Info("query ends", "Request", string(q.id), "Outcome", outcome, "Missing", e.Missing, "Sub", q.sub,
				"TookMicros", took.Microseconds(), "Calls", calls, "Groups", groups, "Detail", e.Detail)
		}
	case relay.Refuse:
		outcome := map[relay.Refusal]gauge.Outcome{
			relay.NoRoute:   gauge.NoRoute,
			relay.NoVersion: gauge.NotNow,
			relay.NotNow:    gauge.NotNow,
			relay.Failed:    gauge.Failed,
			relay.TimedOut:  gauge.TimedOut,
		}[e.Status]
		f.gauge.Request(outcome, took)
		f.log.Info("query ends", "Request", string(q.id), "Outcome", outcome, "Reason", e.Reason, "Sub", q.sub,
			"TookMicros", took.Microseconds(), "Calls", calls, "Groups", groups, "Detail", e.Detail)
	case relay.Call, relay.Stop, relay.Delegate, relay.Eject:
	}
}

// serveMetrics serves the metrics and sets the gauges until ctx ends. A port
// that is taken costs the metrics, not the service.
func (f *Front) serveMetrics(ctx context.Context) error {
	if f.cfg.Metrics == "" {
		return nil
	}
	lis, err := net.Listen("tcp", f.cfg.Metrics)
	if err != nil {
		f.log.Error("metrics are not served; free the port or set another", "Address", f.cfg.Metrics, "Error", err.Error())
		return nil
	}
	srv := &http.Server{
		Handler:           f.gauge,
		ReadHeaderTimeout: readyTimeout,
	}
	go f.setGauges(ctx, srv)
	if err := srv.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
		f.log.Error("metrics are not served any more", "Error", err.Error())
	}
	return nil
}

func (f *Front) setGauges(ctx context.Context, srv *http.Server) {
	tick := time.NewTicker(gaugeEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = srv.Close()
			return
		case <-tick.C:
		}
		if t := f.table.Load(); t != nil {
			f.gauge.Version.Update(float64(t.Version()))
		}
		ready := 0.0
		if f.unready() == "" {
			ready = 1
		}
		f.gauge.Ready.Update(ready)
		f.gauge.Connections.Update(float64(f.pool.Dials()))
		f.gauge.Running.Update(float64(f.running.Load()))
		f.gauge.Upstreams.Update(float64(f.upstreams.Load()))
		f.gauge.Hosts.Update(float64(f.hosts.Load()))
		f.gauge.ListAge.Update(time.Since(time.Unix(0, f.listAt.Load())).Seconds())
		if f.cfg.Dropped != nil {
			f.gauge.Dropped.Update(float64(f.cfg.Dropped()))
		}
	}
}
