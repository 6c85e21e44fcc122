package relay_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

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
