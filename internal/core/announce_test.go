package core_test

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/core"
	"github.com/jujubethread/jujubethread/internal/ports"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/platform"
)

func free(t *testing.T) string {
	t.Helper()
	address, err := ports.Free()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// start runs a control host until the test ends and returns it with the
// address for operators.
func start(t *testing.T, link string, first bool, seeds ...string) (host *core.Core, operator string) {
	t.Helper()
	operator = free(t)
	c, err := core.New(config(t, link, operator, first, seeds...))
	if err != nil {
		t.Fatal(err)
	}
	run(t, c)
	return c, operator
}

func config(t *testing.T, link, operator string, first bool, seeds ...string) core.Config {
	t.Helper()
	return core.Config{
		Name:        ident.HostID("core-" + link),
		Domain:      "a",
		Folder:      t.TempDir(),
		Operator:    operator,
		Link:        link,
		Seeds:       seeds,
		First:       first,
		ListAddress: free(t),
		Log:         slog.New(slog.DiscardHandler),
	}
}

// run runs a control host until stop is called or the test ends.
func run(t *testing.T, c *core.Core) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := c.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	stop = func() {
		cancel()
		<-ended
	}
	t.Cleanup(stop)
	return stop
}

// Guards against a system that stays without configuration after a power loss
// of all hosts. It happens if every seed has been replaced in the group and the
// seeds know only each other.
func TestSeedOutsideTheGroupLearnsWhoLeads(t *testing.T) {
	is := is.New(t)
	const timeout = 15 * time.Second
	memberLink, seedLink := free(t), free(t)
	member, memberOperator := start(t, memberLink, true, memberLink)
	_, seedOperator := start(t, seedLink, false, seedLink)
	member.SetSeeds([]string{seedLink})
	putConfiguration := func(operator string) int {
		req, err := http.NewRequest(http.MethodPut, "http://"+operator+platform.PathConfiguration,
			strings.NewReader(`{"Version":3,"Routes":[],"Services":[],"Limits":{}}`))
		is.NoErr(err)
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0
		}
		_ = res.Body.Close()
		return res.StatusCode
	}
	for _, operator := range []string{memberOperator, seedOperator} {
		status := 0
		for deadline := time.Now().Add(timeout); status != http.StatusOK && time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
			status = putConfiguration(operator)
		}
		is.Equal(status, http.StatusOK)
	}
}
