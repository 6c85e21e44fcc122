package gauge_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/gauge"
)

// Guards against a metric in the table of the package comment that is not
// served.
func TestEachMetricIsServed(t *testing.T) {
	is := is.New(t)
	g := gauge.New("Good")
	g.Request(gauge.Partial, time.Millisecond)
	g.Call("Good", true, time.Millisecond)
	g.Delegated(gauge.Lost)
	g.KeyRefused(gauge.Revoked)
	g.Refused("Gate")
	g.Refused("") // of another cause
	g.GateLimit.Update(2.5)
	g.GateRunning.Update(2)
	g.GateWaiting.Update(1)
	g.Ejected.Inc(1)
	g.Connections.Update(3)
	g.Running.Update(1)
	g.Version.Update(7)
	g.ListAge.Update(0.5)
	g.Upstreams.Update(4)
	g.Hosts.Update(12)
	g.Ready.Update(1)
	g.Dropped.Update(0)
	is.NoErr(g.Close()) // copies the last values to the page
	w := httptest.NewRecorder()
	g.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, name := range []string{
		`tier_requests{outcome="Partial"} 1`, "tier_request_seconds_bucket", `tier_calls{result="Good"} 1`, "tier_call_seconds_bucket",
		`tier_handed{result="Lost"} 1`, `tier_keys_refused{reason="Revoked"} 1`, "tier_shunned 1", "tier_connections 3", "tier_requests_running 1", "tier_document_version 7",
		"tier_list_age_seconds 0.5", "tier_upstreams 4", "tier_hosts 12", "tier_ready 1", "tier_log_lines_dropped 0",
		`tier_refusals{cause="Gate"} 1`, "tier_gate_limit 2.5", "tier_gate_running 2", "tier_gate_waiting 1",
	} {
		if !strings.Contains(w.Body.String(), name) {
			t.Errorf("metric %s is not served", name)
		}
	}
}
