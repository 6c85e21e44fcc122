package front

import (
	"context"

	"github.com/jujubethread/jujubethread/pkg/relay"
	"github.com/jujubethread/jujubethread/pkg/rules"
)

// CallsAfterWithdrawal returns the number of calls for a request that a first table has
// authorized and that reaches the engine once a second one is in force there. The host
// must not run.
func (f *Front) CallsAfterWithdrawal(first, second *rules.Table, host, path string, keys []string) (int, error) {
	f.permits.install(first)
	f.handleInput(input{event: relay.Install{Table: first}})
	f.handleInput(input{event: relay.Listed{Upstreams: []relay.Upstream{{
		ID:      "u",
		Service: "s",
		Address: "127.0.0.1:1",
		Slots:   1,
	}}}})
	pm, err := f.permits.grant(context.Background(), host, path, keys)
	if err != nil {
		return 0, err
	}
	defer f.permits.release(pm)
	if err := f.permits.begin(pm); err != nil {
		return 0, err
	}
	f.permits.install(second)
	f.handleInput(input{event: relay.Install{Table: second}})
	q := &request{
		method: "GET",
		path:   path,
		reply:  make(chan reply, 1),
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.query(pm.ctx, q, relay.Arrive{
			Host: host,
			Path: path,
		})
	}()
	f.handleInput(<-f.inputs)
	calls := len(q.calls)
	pm.cancel(nil)
	<-ended
	f.handleInput(<-f.inputs) // that the caller has left
	return calls, nil
}
