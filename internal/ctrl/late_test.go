package ctrl_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/ctrl"
	"github.com/jujubethread/jujubethread/internal/proto"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ledger"
)

// redirected sends an order and returns the URL to which it is redirected, as a caller
// has it whose order is held up from then on.
func redirected(t *testing.T, url, body string) string {
	t.Helper()
	is := is.New(t)
	status, location := sendOnce(t, url, body)
	is.Equal(status, http.StatusTemporaryRedirect)
	return strings.Split(url, "/v1/")[0] + location
}

// sendOnce sends an order and follows no redirect.
func sendOnce(t *testing.T, url, body string) (status int, location string) {
	t.Helper()
	is := is.New(t)
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	is.NoErr(err)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	res, err := transport.RoundTrip(req)
	is.NoErr(err)
	_ = res.Body.Close()
	return res.StatusCode, res.Header.Get("Location")
}

// Guards against a change of the members that was held up, and that undoes changes which
// were acknowledged after its operator had given up on it, in both directions.
func TestLateMemberChangeUndoesNothing(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3, nil)
	leader, _ := g.leader(-1)
	g.run(leader, "c1")
	url := func(i int) string { return "http://" + g.hosts[i].Addr() + ctrl.PathMembers }
	// A member that never answers stays a learner.
	add := fmt.Sprintf(`{"Add":{"ID":"new","Address":%q}}`, freePort(t))
	const remove = `{"Remove":{"ID":"new"}}`
	isMember := func(i int) bool {
		for _, m := range g.status(i).Members {
			if m.ID == "new" {
				return true
			}
		}
		return false
	}
	change := func(i int, body string) {
		g.await(10*time.Second, "the change is accepted", func() bool {
			_, out := post(t, url(i), body)
			return out.Kind == config.Accepted
		})
	}
	first, second := (leader+1)%3, (leader+2)%3
	for _, row := range []struct {
		late, latest string
		member       bool
	}{
		{add, remove, false},
		{remove, add, true},
	} {
		if row.member {
			change(second, row.latest) // so that there is a member to remove
		}
		heldUp := redirected(t, url(first), row.late)
		change(second, row.late)
		change(second, row.latest)
		status, _ := sendOnce(t, heldUp, row.late)
		is.Equal(status, http.StatusServiceUnavailable)
		g.await(5*time.Second, "all members have the latest list", func() bool {
			return isMember(0) == row.member && isMember(1) == row.member && isMember(2) == row.member
		})
	}
}

// Guards against a decision on a filing that was held up, and that decides on a later
// reservation of the same filing: one that has run could run again.
func TestLateDecisionIsNotOnALaterReservation(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 1, nil)
	g.leader(-1)
	h := g.hosts[0]
	url := "http://" + h.Addr() + ctrl.PathFilings
	reserve := func(attempt uint64) ledger.Result {
		var a proto.FilingAnswer
		g.await(10*time.Second, "the filing is reserved", func() bool {
			a = h.SubmitFiling(t.Context(), ledger.Reserve{
				Request: "f",
				Host:    "entry",
				Attempt: attempt,
			})
			return a.Kind == proto.FilingApplied
		})
		return a.Result
	}
	decision := func(status ledger.Status) string {
		return fmt.Sprintf(`{"Request":"f","Status":%q}`, status)
	}
	status, _ := sendOnce(t, url, decision(ledger.NotRun))
	is.Equal(status, http.StatusConflict) // not known
	reservation := reserve(1)
	heldUp := redirected(t, url, decision(ledger.NotRun))
	released := h.SubmitFiling(t.Context(), ledger.Release{
		Request: "f",
		Fence:   reservation.Fence,
	})
	is.Equal(released.Result.Kind, ledger.Applied)
	is.Equal(reserve(2).Kind, ledger.Granted)
	res, err := http.Post(heldUp, "application/json", strings.NewReader(decision(ledger.NotRun)))
	is.NoErr(err)
	defer res.Body.Close()
	var a proto.FilingAnswer
	is.NoErr(json.NewDecoder(res.Body).Decode(&a))
	is.Equal(res.StatusCode, http.StatusConflict)
	is.True(strings.Contains(a.Result.Remedy, "reserved again"))
}
