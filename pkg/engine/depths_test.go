package engine_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

// Guards against gauges that show empty queues while queries wait, or empty
// budgets while they have tokens.
func TestDepths(t *testing.T) {
	is := is.New(t)
	e := newReadyEngine(t, deployment(t, 2))
	is.Equal(e.Depths().Waiting, [len(preset.Classes)]int{})
	const queries = 50
	var first []engine.Effect
	for i := range ident.QueryID(queries) {
		out := e.Step(3, search(i+1))
		if i == 0 {
			first = out
		}
	}
	d := e.Depths()
	waiting := d.Waiting[preset.Critical]
	is.True(waiting > 0 && waiting < queries)
	sent := 2 * float64(queries-waiting)
	is.Equal(d.HedgeTokens, sent*0.05)     // 5% of first attempts by default
	is.Equal(d.RetryTokens, 2*5+sent*0.10) // two services with 5 initial tokens each
	is.Equal(len(filter[engine.Send](first)), 2)
}
