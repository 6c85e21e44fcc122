package admin_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/admin"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

// startHost starts a fake control host that always gives the same answer, and
// returns its address.
func startHost(t *testing.T, status int, body string) string {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

// unresponsive returns an address that accepts connections and never answers.
func unresponsive(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

// closed returns an address that refuses connections.
func closed(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer l.Close()
	return l.Addr().String()
}

// Guards against an outcome that claims less or more than the answers prove: a
// frozen host that keeps the command from the leader, a missing answer reported
// as not run, and a refusal reported as unknown.
func TestOutcomeOverSeveralControlHosts(t *testing.T) {
	accepted := startHost(t, http.StatusOK, `{"Kind":"Accepted","Version":{"Epoch":0,"Number":7}}`)
	notRun := startHost(t, http.StatusServiceUnavailable, `{"Kind":"NotRun"}`)
	conflict := startHost(t, http.StatusConflict, `{"Kind":"Conflict"}`)
	for name, row := range map[string]struct {
		controls []string
		want     config.OutcomeKind
		failed   bool
	}{
		"frozen host before the leader": {controls: []string{unresponsive(t), accepted}, want: config.Accepted},
		"follower before the leader":    {controls: []string{notRun, accepted}, want: config.Accepted},
		"conflict is final":             {controls: []string{notRun, conflict}, want: config.Conflict},
		"no answer and a refusal":       {controls: []string{unresponsive(t), notRun}, want: config.Unknown},
		"refusal and no connection":     {controls: []string{notRun, closed(t)}, want: config.NotRun},
		"no connection":                 {controls: []string{closed(t)}, failed: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := admin.NewClient(admin.Config{
				Controls: row.controls,
				Timeout:  400 * time.Millisecond,
			})
			_, out, err := c.Run(context.Background(), "c1", &ident.ConfigVersion{}, config.SwitchPreset{Name: preset.Peak})
			is.Equal(err != nil, row.failed)
			is.Equal(out.Kind, row.want)
		})
	}
}
