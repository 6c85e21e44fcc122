package front

import (
	"net/netip"
	"time"

	"github.com/jujubethread/jujubethread/internal/gram"
	"github.com/jujubethread/jujubethread/pkg/gather"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/quota"
	"github.com/jujubethread/jujubethread/pkg/relay"
)

// demandReport is a datagram of kind kindDemand: what a host wants of limited
// upstreams. SentMicros is returned in the demandReply, of kind kindGrant.
type demandReport struct {
	_          struct{} `cbor:",toarray"`
	From       ident.HostID
	Domain     ident.Domain
	SentMicros int64
	Demands    []demandEntry
}

type demandEntry struct {
	_         struct{} `cbor:",toarray"`
	Key       quota.Key
	Limit     float64
	AgeMillis int64
	Wanted    float32
	Held      float32
}

type demandReply struct {
	_          struct{} `cbor:",toarray"`
	Domain     ident.Domain
	SentMicros int64
	Grants     []grantEntry
}

type grantEntry struct {
	_         struct{} `cbor:",toarray"`
	Key       quota.Key
	Limit     float64
	AgeMillis int64
	Rate      float32
}

// sendReport sends a report to the owner of the limits in its domain. If that is
// this host, or if none is reachable, there is no message.
func (f *Front) sendReport(e relay.Report) {
	now := f.now()
	owner, ok := f.peers.owner(e.Domain)
	switch {
	case !ok:
		return
	case owner.Self:
		f.stepEngine(relay.Granted{
			Now:    now,
			Sent:   now,
			Domain: e.Domain,
			Grants: f.owner.Report(now, f.cfg.Name, f.fleet(owner), e.Demands),
		})
		return
	}
	to, err := netip.ParseAddrPort(owner.Link)
	if err != nil {
		return // logged by the pinger
	}
	r := demandReport{
		From:       f.cfg.Name,
		Domain:     e.Domain,
		SentMicros: time.Duration(now).Microseconds(),
	}
	for _, d := range e.Demands {
		r.Demands = append(r.Demands, demandEntry{
			Key:       d.Key,
			Limit:     d.Limit,
			AgeMillis: d.Age.Milliseconds(),
			Wanted:    float32(d.Wanted),
			Held:      float32(d.Held),
		})
	}
	f.sendMessage(kindDemand, r, to)
}

// sendMessage sends a message in a datagram. A lost one is replaced by the next.
func (f *Front) sendMessage(kind byte, message any, to netip.AddrPort) {
	b, err := gram.Encode(kind, message)
	if err == nil {
		_, err = f.datagrams.WriteToUDPAddrPort(b, to)
	}
	if err != nil {
		f.log.Debug("datagram could not be sent", "Kind", kind, "Error", err.Error())
	}
}

// receive decodes a datagram of another host and queues it for the loop. A
// message that cannot be decoded comes from another release and is ignored.
func (f *Front) receive(b []byte, from netip.AddrPort) {
	if b[0] >= kindAsk && b[0] <= kindLoan {
		f.receiveAccount(b, from)
		return
	}
	var in input
	var err error
	switch b[0] {
	case kindDemand:
		in.demand = &receivedDemand{from: from}
		err = gram.Decode(b, &in.demand.demandReport)
	case kindGrant:
		in.grant = &demandReply{}
		err = gram.Decode(b, in.grant)
	case gram.KindGossip:
		in.gossip = &receivedGossip{from: from}
		err = gram.Decode(b, &in.gossip.Gossip)
	default:
		return
	}
	if err != nil {
		f.log.Debug("datagram is ignored", "From", from.String(), "Error", err.Error())
		return
	}
	select {
	case f.inputs <- in:
	default: // queue full: the next report replaces it
	}
}

// receivedDemand is a report with the address that its reply goes to.
type receivedDemand struct {
	demandReport
	from netip.AddrPort
}

// answerDemand grants shares to another host if this one is the owner.
func (f *Front) answerDemand(r *receivedDemand) {
	owner, ok := f.peers.owner(r.Domain)
	if !ok || !owner.Self {
		return
	}
	demands := make([]quota.Demand, 0, len(r.Demands))
	for _, d := range r.Demands {
		demands = append(demands, quota.Demand{
			Key:    d.Key,
			Limit:  d.Limit,
			Age:    time.Duration(d.AgeMillis) * time.Millisecond,
			Wanted: float64(d.Wanted),
			Held:   float64(d.Held),
		})
	}
	out := demandReply{
		Domain:     r.Domain,
		SentMicros: r.SentMicros,
	}
	for _, g := range f.owner.Report(f.now(), r.From, f.fleet(owner), demands[:min(len(demands), quota.MaxEntries)]) {
		out.Grants = append(out.Grants, grantEntry{
			Key:       g.Key,
			Limit:     g.Limit,
			AgeMillis: g.Age.Milliseconds(),
			Rate:      float32(g.Rate),
		})
	}
	f.sendMessage(kindGrant, out, r.from)
}

// fleet returns what this host, as the owner, knows of those that share limits.
func (f *Front) fleet(self gather.Owner) quota.Fleet {
	fl := quota.Fleet{
		Hosts:  int(f.hosts.Load()),
		Before: self.Before,
	}
	if fl.Hosts == 0 {
		fl.Hosts = initialHosts
	}
	return fl
}

func (f *Front) takeGrant(r *demandReply) {
	ev := relay.Granted{
		Now:    f.now(),
		Sent:   ident.Instant(time.Duration(r.SentMicros) * time.Microsecond),
		Domain: r.Domain,
	}
	for _, g := range r.Grants {
		ev.Grants = append(ev.Grants, quota.Grant{
			Key:   g.Key,
			Limit: g.Limit,
			Age:   time.Duration(g.AgeMillis) * time.Millisecond,
			Rate:  float64(g.Rate),
		})
	}
	f.stepEngine(ev)
}

func (f *Front) reportLimit(e relay.Limit) {
	f.limited.Store(int64(f.engine.Limited()))
	f.log.Info("limit of an upstream changed", "Upstream", string(e.Upstream), "Service", string(e.Service), "PerSecond", e.PerSecond, "Learned", e.Learned)
}
