package ctrl_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/ctrl"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

// start runs a host until the returned function is called.
func start(t testing.TB, cfg ctrl.Config) (h *ctrl.Host, stop func()) {
	t.Helper()
	is := is.New(t)
	h, err := ctrl.New(cfg)
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- h.Run(ctx) }()
	stopped := false
	stop = func() {
		if !stopped {
			stopped = true
			cancel()
			is.NoErr(<-ended)
			http.DefaultClient.CloseIdleConnections()
		}
	}
	t.Cleanup(stop)
	return h, stop
}

func post(t testing.TB, url, body string) (int, config.Outcome) {
	t.Helper()
	is := is.New(t)
	resp, err := http.Post(url, "application/json", bytes.NewBufferString(body))
	is.NoErr(err)
	defer resp.Body.Close()
	var out config.Outcome
	is.NoErr(json.NewDecoder(resp.Body).Decode(&out))
	return resp.StatusCode, out
}

// Guards against an accepted command that is lost or runs again after a restart.
func TestSingleHostKeepsCommandsOverRestart(t *testing.T) {
	is := is.New(t)
	cfg := ctrl.Config{
		Folder:   t.TempDir(),
		Listen:   "127.0.0.1:0",
		Address:  "127.0.0.1:1",
		NewGroup: true,
	}
	h, stop := start(t, cfg)
	id := h.ID()
	body, err := ctrl.FormatCommand(config.Command{
		ID:     "c1",
		Change: config.SwitchPreset{Name: preset.Peak},
	})
	is.NoErr(err)
	code, first := post(t, "http://"+h.Addr()+ctrl.PathCommands, string(body))
	is.Equal(code, http.StatusOK)
	is.Equal(first.Kind, config.Accepted)
	is.Equal(first.Version, ident.ConfigVersion{Number: 1})
	stop()

	h, _ = start(t, cfg)
	is.Equal(h.ID(), id)
	_, again := post(t, "http://"+h.Addr()+ctrl.PathCommands, string(body))
	is.Equal(again, first)
	s, err := h.Config(context.Background())
	is.NoErr(err)
	is.Equal(s.InForce, preset.Peak)
	is.Equal(s.Version.Number, uint64(1))
}

// Guards against metrics that are not served.
func TestMetricsAreServed(t *testing.T) {
	is := is.New(t)
	h, _ := start(t, ctrl.Config{
		Folder:   t.TempDir(),
		Listen:   "127.0.0.1:0",
		Address:  "127.0.0.1:0",
		NewGroup: true,
	})
	code, _ := post(t, "http://"+h.Addr()+ctrl.PathCommands, `{"ID":"x","Expect":{},"Change":{"SetSeats":{"Seats":3}}}`)
	is.Equal(code, http.StatusOK)
	resp, err := http.Get("http://" + h.Addr() + ctrl.PathMetrics)
	is.NoErr(err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	for _, name := range []string{"control_term", "control_requests", "control_write_seconds"} {
		is.True(bytes.Contains(body, []byte(name)))
	}
}

// Guards against malformed commands that are accepted in part: every refusal
// must name the invalid field or change.
func TestBadCommandsAreRefusedByName(t *testing.T) {
	is := is.New(t)
	h, _ := start(t, ctrl.Config{
		Folder:   t.TempDir(),
		Listen:   "127.0.0.1:0",
		Address:  "127.0.0.1:1",
		NewGroup: true,
	})
	for body, named := range map[string]string{
		`{"ID":"x","Expect":{},"Change":{"SwitchPreset":{"Name":"peak","Extra":1}}}`:      "Extra",
		`{"ID":"x","Expect":{},"Change":{"Reboot":{}}}`:                                   "Reboot",
		`{"ID":"x","Change":{"SetSeats":{"Seats":1}},"Wish":2}`:                           "Wish",
		`{"Change":{"SetSeats":{"Seats":1}}}`:                                             "ID",
		`{"ID":"x","Change":{"SetSeats":{"Seats":1},"SwitchPreset":{"Name":"ordinary"}}}`: "exactly one",
	} {
		code, out := post(t, "http://"+h.Addr()+ctrl.PathCommands, body)
		is.Equal(code, http.StatusBadRequest)
		is.Equal(out.Kind, config.NotRun)
		is.True(bytes.Contains([]byte(out.Remedy), []byte(named))) // the refusal names the invalid part
	}
}

// Guards against a command that comes while its host stops and is answered only at
// its own time limit, when the operator has long given up on the host.
func TestStoppedHostRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	h, stop := start(t, ctrl.Config{
		Folder:   t.TempDir(),
		Listen:   "127.0.0.1:0",
		Address:  "127.0.0.1:1",
		NewGroup: true,
	})
	stop()
	started := time.Now()
	out := h.Command(context.Background(), config.Command{
		ID:     "c1",
		Change: config.SwitchPreset{Name: preset.Peak},
	})
	is.Equal(out.Kind, config.NotRun)
	is.True(time.Since(started) < time.Second) // its time limit is 3 s
}
