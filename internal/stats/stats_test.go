package stats_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/jujubethread/jujubethread/internal/stats"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against a renamed metric or a missing label, which breaks dashboards
// without any error.
func TestNamesAndTags(t *testing.T) {
	is := is.New(t)
	s := stats.New()
	s.Query(preset.Critical, &engine.Reply{
		Outcome:  engine.Partial,
		Coverage: engine.Coverage{Missing: []engine.Missing{{Reason: engine.MissingLost}}},
	}, 3*time.Millisecond)
	s.Filing(engine.Unknown)
	s.Attempt(engine.Hedge, stats.Late, time.Millisecond)
	s.Attempt(engine.First, stats.Answered, time.Millisecond)
	s.Attempt("Odd", "Odd", time.Millisecond) // unknown label values are ignored
	s.SetGauges(stats.Snapshot{
		Requests:    4,
		Config:      ident.ConfigVersion{Number: 9},
		Seat:        engine.SeatHeld,
		Waiting:     [3]int{0, 0, 5},
		RetryTokens: 1.5,
	})
	is.NoErr(s.Close()) // publishes the last values
	rec := httptest.NewRecorder()
	s.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, line := range []string{
		`entry_queries{class="Critical",outcome="Partial"} 1`,
		`entry_query_seconds_count{class="Critical"} 1`,
		`entry_filings{outcome="Unknown"} 1`,
		`entry_attempts{reason="Hedge",result="Late"} 1`,
		`entry_attempt_seconds_count{reason="First"} 1`,
		`entry_shards_missing{reason="Lost"} 1`,
		`entry_requests_running 4`,
		`entry_queue_length{class="Tolerant"} 5`,
		`entry_budget_tokens{budget="retry"} 1.5`,
		`entry_config_number 9`,
		`entry_seat{state="Held"} 1`,
		`entry_seat{state="None"} 0`,
		`entry_goroutines `,
	} {
		is.True(strings.Contains(rec.Body.String(), line)) // the metric is missing
	}
	var disabled *stats.Stats
	disabled.Filing(engine.Done)
	is.NoErr(disabled.Close())
}
