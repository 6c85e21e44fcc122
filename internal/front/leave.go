package front

import (
	"context"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
	"github.com/jujubethread/jujubethread/pkg/rules"
)

// methodAbandon is the RPC by which an entry host asks another to stop its calls for a
// request whose caller has left: abandonRequest, abandonReply.
const methodAbandon = "/front/abandon"

// abandonTimeout bounds the RPC. Upstreams should not be at work for much longer after
// the caller has left.
const abandonTimeout = 500 * time.Millisecond

// abandonRequest names the shards of a request that were delegated to the receiver.
type abandonRequest struct {
	ID      ident.RequestID
	Version rules.Version
	Shards  []int
}

type abandonReply struct{}

// sendAbandon sends an abandonRequest. Without an answer, or from a host that does not
// know the method yet, the calls go on to their end.
func (f *Front) sendAbandon(e relay.Abandon) {
	to, ok := f.peers.helper(e.Helper)
	if e.Helper == "" {
		to, ok = f.peers.choose(e.Domain, e.Request)
	}
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(f.serving, abandonTimeout)
		defer cancel()
		in := abandonRequest{
			ID:      e.Request,
			Version: e.Version,
			Shards:  e.Shards,
		}
		if err := f.client.Call(ctx, to.Link, methodAbandon, &in, &abandonReply{}); err != nil {
			f.log.Debug("calls for a caller that has left were not stopped", "Request", string(e.Request), "Host", string(to.ID), "Error", err.Error())
		}
	}()
}

// serveAbandon stops the calls that this host keeps for an abandoned request.
func (f *Front) serveAbandon(_ context.Context, in *abandonRequest) (*abandonReply, error) {
	f.inputs <- input{event: relay.Abandoned{
		Request: in.ID,
		Version: in.Version,
		Shards:  in.Shards,
	}}
	return &abandonReply{}, nil
}
