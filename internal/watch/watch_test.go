package watch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/watch"
	"github.com/jujubethread/jujubethread/pkg/rules"
)

// Guards against a host that gets no document for as long as changes come in
// quick succession: it should have them from the replicated log but does not.
func TestStormOfChangesReachesAHostWithoutTheLog(t *testing.T) {
	is := is.New(t)
	const (
		gap   = 100 * time.Millisecond
		bound = 2 * time.Second
	)
	state := watch.NewState()
	poll := serve(t, state)
	begin := time.Now()
	for v := rules.Version(1); time.Since(begin) < bound; v++ {
		state.SetDocument(watch.Document{Version: v})
		if poll(watch.Request{Follows: true}).Document != nil {
			return
		}
		<-time.After(gap)
	}
	is.Fail() // no document within the bound
}
