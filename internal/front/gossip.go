package front

import (
	"net/netip"

	"github.com/jujubethread/jujubethread/internal/gram"
	"github.com/jujubethread/jujubethread/pkg/board"
	"github.com/jujubethread/jujubethread/pkg/gossip"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
)

type receivedGossip struct {
	gram.Gossip
	from netip.AddrPort
}

// setGossipPeers sets the hosts that facts are spread to: entry hosts, and control
// hosts, which remember them while all entry hosts restart.
func (f *Front) setGossipPeers(roster []board.Host) {
	f.gossipPeers = make(map[ident.HostID]netip.AddrPort, len(roster))
	var hosts, keepers []ident.HostID
	for _, h := range roster {
		to, err := netip.ParseAddrPort(h.Link)
		if h.ID == f.cfg.Name || err != nil {
			continue // an invalid address is logged by the pinger
		}
		f.gossipPeers[h.ID] = to
		if h.Kind == board.Entry {
			hosts = append(hosts, h.ID)
		} else {
			keepers = append(keepers, h.ID)
		}
	}
	f.gossip.SetHosts(f.now(), hosts, keepers)
}

// sendGossip sends the messages that are due.
func (f *Front) sendGossip() {
	now := f.now()
	if next, ok := f.gossip.Next(); !ok || now < next {
		return
	}
	for _, m := range f.gossip.Due(now) {
		f.sendMessage(gram.KindGossip, gram.Gossip{
			Pull:  m.Pull,
			Facts: gossip.SendAll(now, m.Facts),
		}, f.gossipPeers[m.To])
	}
}

// takeGossip passes the facts of another host to the engine, and answers it if
// it asks for this host's.
func (f *Front) takeGossip(in *receivedGossip) {
	now := f.now()
	f.stepEngine(relay.FactsReceived{
		Now:   now,
		Facts: gossip.ReceiveAll(now, in.Facts),
	})
	if in.Pull {
		f.sendMessage(gram.KindGossip, gram.Gossip{Facts: gossip.SendAll(now, f.gossip.Facts())}, in.from)
	}
}
