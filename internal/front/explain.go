package front

import (
	"context"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
	"github.com/jujubethread/jujubethread/pkg/rules"
)

// MethodExplain is the RPC that tells where a request would go now: ExplainRequest,
// ExplainReply. It sends nothing to upstreams and takes no part of any limit.
const MethodExplain = "/front/explain"

// ExplainRequest describes a request. An account stands for the key of a caller, so
// that no key is passed on.
type ExplainRequest struct {
	Host    string
	Path    string
	ID      ident.RequestID `cbor:",omitempty"`
	Account ident.Account   `cbor:",omitempty"`
}

// ExplainReply tells where the request would go.
type ExplainReply struct {
	// HostName is the entry host that answers, Unready why it takes no new callers,
	// empty if it does.
	HostName ident.HostID
	Unready  string `cbor:",omitempty" json:",omitempty"`
	// Gatherer is the host that a search with the ID would be delegated to, empty if
	// this one serves it; its choice of upstreams may differ.
	Gatherer ident.HostID `cbor:",omitempty" json:",omitempty"`
	// Access is why the account may not use the route, empty if it may.
	Access string `cbor:",omitempty" json:",omitempty"`
	// Rate and Burst are the limit of the account over all hosts, 0 for none.
	Rate  float64 `cbor:",omitempty" json:",omitempty"`
	Burst float64 `cbor:",omitempty" json:",omitempty"`
	relay.Explanation
}

// explainInput asks the loop for an explanation.
type explainInput struct {
	host, path string
	priority   *int
	reply      chan<- relay.Explanation
}

func (f *Front) serveExplain(ctx context.Context, in *ExplainRequest) (*ExplainReply, error) {
	out := &ExplainReply{
		HostName: f.cfg.Name,
		Unready:  f.unreadyReason(),
	}
	ask := &explainInput{
		host: in.Host,
		path: in.Path,
	}
	if t := f.table.Load(); t != nil {
		out.explainAccess(t, in, ask)
		if r := t.Find(in.Host, in.Path); r != nil && r.Gathers() {
			if to, ok := f.peers.choose(f.cfg.Domain, in.ID); ok {
				out.Gatherer = to.ID
			}
		}
	}
	reply := make(chan relay.Explanation, 1)
	ask.reply = reply
	select {
	case f.inputs <- input{explain: ask}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case out.Explanation = <-reply:
		return out, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// explainAccess fills in what the account means for the request.
func (x *ExplainReply) explainAccess(t *rules.Table, in *ExplainRequest, ask *explainInput) {
	a := t.Account(in.Account)
	switch r := t.Find(in.Host, in.Path); {
	case a != nil:
		x.Rate, x.Burst = a.Rate, a.Burst
		if a.HasPriority {
			ask.priority = &a.Priority
		}
	case in.Account != "":
		x.Access = "the configuration has no account of that name"
	case t.Doc.RequiresKey && r != nil && !r.Public:
		x.Access = "the route needs the key of an account: name the account"
	}
}
