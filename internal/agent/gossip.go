package agent

import (
	"context"

	"github.com/jujubethread/jujubethread/internal/proto"
	"github.com/jujubethread/jujubethread/pkg/follow"
	"github.com/jujubethread/jujubethread/pkg/gossip"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Tell implements host.Control. A fact that finds the inbox full is dropped; the
// host tells it again with its next change.
func (a *Agent) Tell(f gossip.Sent) {
	received := a.now()
	spread := func() {
		for _, fact := range gossip.ReceiveAll(received, []gossip.Sent{f}) {
			a.spreader.Spread(a.now(), fact)
		}
		a.sendGossip()
	}
	select {
	case a.inbox <- spread:
	default:
		a.cfg.Log.Warn("a fact for other entry hosts was dropped: the agent is overloaded")
	}
}

// Facts implements host.Control.
func (a *Agent) Facts() <-chan []gossip.Sent { return a.facts }

// setGossipPeers sets the hosts that facts are spread to, by their addresses.
func (a *Agent) setGossipPeers(peers []follow.Source) {
	hosts := make([]ident.HostID, 0, len(peers))
	for _, p := range peers {
		hosts = append(hosts, ident.HostID(p.Address))
	}
	a.spreader.SetHosts(a.now(), hosts, nil)
	a.sendGossip()
}

// sendGossip sends the messages that are due.
func (a *Agent) sendGossip() {
	now := a.now()
	for _, m := range a.spreader.Due(now) {
		in := &proto.Gossip{
			Facts: gossip.SendAll(now, m.Facts),
			Pull:  m.Pull,
		}
		a.spawn(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
			defer cancel()
			var out proto.Gossip
			if a.call(ctx, string(m.To), proto.MethodGossip, in, &out) == nil {
				a.deliver(out.Facts)
			}
		})
	}
	if next, ok := a.spreader.Next(); ok {
		a.setTimer(gossipTimer, next)
	}
}

// deliver passes facts to the engine, unless too many wait for it.
func (a *Agent) deliver(facts []gossip.Sent) {
	if len(facts) == 0 {
		return
	}
	select {
	case a.facts <- facts:
	default:
		a.cfg.Log.Warn("facts of another entry host were dropped: the engine is overloaded")
	}
}

// receiveGossip serves the messages of other entry hosts.
func (a *Agent) receiveGossip(ctx context.Context, in *proto.Gossip) (*proto.Gossip, error) {
	a.deliver(in.Facts)
	out := &proto.Gossip{}
	if !in.Pull {
		return out, nil
	}
	answered := make(chan struct{})
	a.post(func() {
		out.Facts = gossip.SendAll(a.now(), a.spreader.Facts())
		close(answered)
	})
	select {
	case <-answered:
		return out, nil
	case <-a.done:
		return &proto.Gossip{}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
