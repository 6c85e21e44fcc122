package engine_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

// Guards against gauges that show empty queues and budgets while queries wait
// and tokens are there.
func TestDepths(t *testing.T) {
	is := is.New(t)
	e := started(t, deployment(t, 2))
	is.Equal(e.Depths().Waiting, [len(preset.Classes)]int{})
	const most = 50
	var first []engine.Effect
	for i := range ident.QueryID(most) {
		out := e.Step(3, search(i+1))
		if i == 0 {
			first = out
		}
	}
	d := e.Depths()
	waiting := d.Waiting[preset.Critical]
	is.True(waiting > 0 && waiting < most)
	sent := 2 * float64(most-waiting)
	is.Equal(d.HedgeTokens, sent*0.05)     // the default share of first attempts
	is.Equal(d.RetryTokens, 2*5+sent*0.10) // two services that start with 5
	is.Equal(len(pick[engine.Send](first)), 2)
}
