package front

import (
	"context"
	"encoding/hex"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/gauge"
	"github.com/jujubethread/jujubethread/internal/guard"
	"github.com/jujubethread/jujubethread/pkg/gather"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
)

const (
	// sampleOneIn sets the share of timely complete answers that are logged: one
	// in sampleOneIn. The request ID decides, so all hosts log the same requests.
	sampleOneIn = 64

	// gaugeInterval is the time between two updates of the gauges.
	gaugeInterval = time.Second
)

// sampled reports whether a request is logged even if its answer is complete
// and timely.
func sampled(id ident.RequestID) bool { return gather.Hash(string(id))%sampleOneIn == 0 }

// observe counts a query that ended on this host, and logs it if it was
// refused, late, partial or sampled.
func (f *Front) observe(q *request, effect relay.Effect, calls, groups int) {
	took := f.now().Sub(q.started)
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
			f.log.Info("query ends", "Request", string(q.id), "Outcome", outcome, "Missing", e.Missing, "Sub", q.shardSubset,
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
		f.gauge.Refused(string(e.Cause))
		f.log.Info("query ends", "Request", string(q.id), "Outcome", outcome, "Reason", e.Reason, "Sub", q.shardSubset,
			"TookMicros", took.Microseconds(), "Calls", calls, "Groups", groups, "Detail", e.Detail)
	case relay.Call, relay.Stop, relay.Delegate, relay.Keep, relay.Drop, relay.Eject, relay.Report, relay.Limit, relay.Departure, relay.Pause, relay.Paced, relay.Withheld, relay.Broadcast, relay.Suspicion:
	}
}

// reportSuspicion logs what is held against a request. The print identifies
// requests that ask the same; the request itself is not logged.
func (f *Front) reportSuspicion(e relay.Suspicion) {
	f.suspects.Store(int64(f.engine.Suspects()))
	if e.Refused {
		f.gauge.Crashers.Inc(1)
	}
	f.log.Info("suspicion against a request changed", "Request", string(e.Request), "Print", hex.EncodeToString(e.Print[:]), "Crashes", e.Crashes,
		"Refused", e.Refused, "Learned", e.Learned, "Upstream", string(e.Upstream), "Service", string(e.Service))
}

// reportDeparture logs that an upstream leaves, and closes the idle connections to
// it.
func (f *Front) reportDeparture(e relay.Departure) {
	f.log.Info("departure of an upstream changed", "Upstream", string(e.Upstream), "Service", string(e.Service), "Leaves", !e.Stays, "Learned", e.Learned)
	if !e.Stays {
		f.pool.CloseInstance(string(e.Upstream))
	}
}

func (f *Front) reportPause(e relay.Pause) {
	f.gauge.Pauses.Inc(1)
	f.log.Info("upstream asks for a pause", "Upstream", string(e.Upstream), "Service", string(e.Service), "ForMillis", e.For.Milliseconds())
}

func (f *Front) reportPaced(e relay.Paced) {
	if e.Down {
		f.gauge.Downs.Inc(1)
	}
	f.log.Info("slow start of an upstream changed", "Upstream", string(e.Upstream), "Service", string(e.Service), "Down", e.Down)
}

// gateLogInterval is the shortest time between two lines about the gate: its limit may
// swing for as long as there is overload.
const gateLogInterval = time.Second

// watchGate stores the state of the gate for the gauges, and logs when its limit has
// fallen far and when it has recovered.
func (f *Front) watchGate() {
	s := f.engine.Gate()
	if old := f.gate.Load(); old == nil || old.Limit != s.Limit || old.Running != s.Running || old.Waiting != s.Waiting {
		f.gate.Store(&s)
	}
	now := f.now()
	if s.Low == f.gateLow || f.gateLoggedAt != 0 && now.Sub(f.gateLoggedAt) < gateLogInterval {
		return
	}
	f.gateLow, f.gateLoggedAt = s.Low, now
	if s.Low {
		f.log.Info("limit of searches is low", "Limit", s.Limit, "Highest", s.Highest, "Running", s.Running, "Waiting", s.Waiting)
		return
	}
	f.log.Info("limit of searches has recovered", "Limit", s.Limit, "Highest", s.Highest, "Running", s.Running, "Waiting", s.Waiting)
}

// serveMetrics serves the metrics and updates the gauges until ctx ends. If the
// port is in use, the host runs without metrics.
func (f *Front) serveMetrics(ctx context.Context) error {
	if f.cfg.Metrics == "" {
		return nil
	}
	lis, err := net.Listen("tcp", f.cfg.Metrics)
	if err != nil {
		f.log.Error("metrics are not served; free the port or set another", "Address", f.cfg.Metrics, "Error", err.Error())
		return nil
	}
	guarded := f.newGuard(guard.CheckBounds("metrics", f.cfg.Descriptors)).Wrap(lis)
	srv := guard.CheckServer(guarded, guard.MetricsBytes, f.gauge)
	go f.setGauges(ctx, srv)
	if err := srv.Serve(guarded); !errors.Is(err, http.ErrServerClosed) {
		f.log.Error("metrics are not served any more", "Error", err.Error())
	}
	return nil
}

func (f *Front) setGauges(ctx context.Context, srv *http.Server) {
	tick := time.NewTicker(gaugeInterval)
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
		if f.unreadyReason() == "" {
			ready = 1
		}
		f.gauge.Ready.Update(ready)
		f.gauge.Connections.Update(float64(f.pool.Dials()))
		connections, held := f.guard.Usage()
		f.gauge.CallerConnections.Update(float64(connections))
		f.gauge.CallerBytes.Update(float64(held))
		f.gauge.Running.Update(float64(f.requestsRunning.Load()))
		f.gauge.Upstreams.Update(float64(f.upstreams.Load()))
		f.gauge.Evacuated.Update(float64(f.evacuated.Load()))
		f.gauge.Evacuation.Update(float64(f.evacuationRevision.Load()))
		f.gauge.Limited.Update(float64(f.limited.Load()))
		f.gauge.Suspects.Update(float64(f.suspects.Load()))
		f.gauge.Leaving.Update(float64(f.leaving.Load()))
		f.gauge.Paused.Update(float64(f.paused.Load()))
		if s := f.gate.Load(); s != nil {
			f.gauge.GateLimit.Update(s.Limit)
			f.gauge.GateRunning.Update(float64(s.Running))
			f.gauge.GateWaiting.Update(float64(s.Waiting))
		}
		f.gauge.Hosts.Update(float64(f.hosts.Load()))
		f.gauge.VersionAge.Update(time.Since(time.Unix(0, f.confirmedAt.Load())).Seconds())
		f.gauge.ListAge.Update(time.Since(time.Unix(0, f.listReadAt.Load())).Seconds())
		if f.cfg.Dropped != nil {
			f.gauge.Dropped.Update(float64(f.cfg.Dropped()))
		}
	}
}
