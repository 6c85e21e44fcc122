package logs_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/logs"
)

// Guards against a failing upstream that floods the log with warnings, and
// against suppressed warnings that are not counted.
func TestRepeatedWarningsAreLimited(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	const interval = 20 * time.Millisecond
	log, err := logs.New(&out, logs.Config{
		Host:     "h1",
		Domain:   "d1",
		Interval: interval,
	})
	is.NoErr(err)
	for range 5 {
		log.Warn("upstream failed", "Upstream", "u")
		log.Info("progress")
	}
	<-time.After(2 * interval)
	log.With("Part", "x").Warn("upstream failed")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 7) // 1 warning, 5 of progress, 1 warning
	var last struct {
		Time, Level, Message, Host, Domain, Part string
		Skipped                                  int
	}
	is.NoErr(json.Unmarshal([]byte(lines[6]), &last))
	is.Equal(last.Skipped, 4)
	is.Equal(last.Host+last.Domain+last.Level+last.Message, "h1d1WARNupstream failed")
	_, err = logs.New(&out, logs.Config{Level: "loud"})
	is.True(err != nil)
}
