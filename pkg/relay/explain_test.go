package relay_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
)

// Guards against an explanation that names another upstream than the one that is
// called, or that changes what is called.
func TestExplanationNamesTheUpstreamThatIsCalled(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1)
	first := h.engine.Explain(h.now, "a.example", "/read/x", nil)
	is.Equal(len(first.Parts), 1)
	is.Equal(first, h.engine.Explain(h.now, "a.example", "/read/x", nil))
	c := h.read(1)
	is.Equal(c.Upstream.ID, first.Parts[0].Upstream)
	h.step(relay.Ended{
		Attempt: c.Attempt,
		Result:  relay.Lost,
		Endless: true,
	})
	again := h.engine.Explain(h.now, "a.example", "/read/x", nil).Parts[0]
	is.Equal(again.Upstream, h.read(2).Upstream.ID)
	is.True(again.Upstream != c.Upstream.ID)
	last := again.Upstreams[1]
	is.Equal(last.Upstream, c.Upstream.ID)
	is.Equal(last.Obstacle, "it is ejected")
}

// Guards against a search that is explained as served though it would be refused.
func TestExplanationOfASearchWithoutUpstreams(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 4)
	is.Equal(h.engine.Explain(h.now, "a.example", "/search/x", nil).Refusal, "")
	h.step(relay.Listed{})
	x := h.engine.Explain(h.now.Add(time.Second), "a.example", "/search/x", nil)
	is.Equal(len(x.Parts), 4)
	is.True(x.Refusal != "")
	is.True(h.engine.Explain(h.now, "b.example", "/", nil).Refusal != "")
}

// Guards against an evacuation that is explained as a departure of the upstream.
func TestExplanationNamesTheEvacuation(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1)
	h.evacuate("a")
	p := h.engine.Explain(h.now, "a.example", "/read/x", nil).Parts[0]
	is.Equal(p.Upstream, h.read(1).Upstream.ID)
	is.Equal(p.Upstreams[1].Domain, ident.Domain("a"))
	is.Equal(p.Upstreams[1].Obstacle, "its domain is evacuated")
	h.evacuate("a", "b")
	is.True(h.engine.Explain(h.now, "a.example", "/read/x", nil).Refusal != "")
	is.True(h.engine.Explain(h.now, "a.example", "/search/x", nil).Refusal != "")
}

// Guards against a request that is explained as refused although it would wait for a
// connection.
func TestExplanationOfARequestThatWaits(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1)
	h.step(relay.Hosts{Count: 1, Gatherers: 1, Gathers: true})
	for id := ident.QueryID(1); id <= 4; id++ { // two slots in each of two domains
		is.Equal(len(calls(h.arrive(id, "/search/x"))), 1)
	}
	x := h.engine.Explain(h.now, "a.example", "/search/x", nil)
	is.Equal(x.Refusal, "")
	is.Equal(x.Parts[0].Upstream, ident.Upstream(""))
	is.Equal(len(h.arrive(5, "/search/x")), 0) // it waits
}
