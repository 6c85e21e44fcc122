package front

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/pkg/gather"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

const (
	// pingEvery is the time between two pings of a host. A ping is one datagram
	// each way: as calls over the link they took 20% of the processor of a
	// gatherer with 26 hosts in its domain.
	pingEvery = 150 * time.Millisecond

	// pingTimeout is how long a host may leave pings unanswered. One datagram
	// of two may be lost on the way.
	pingTimeout = 320 * time.Millisecond
)

// A datagram is its kind, flags and the time of the ping in microseconds of
// the host that sent it.
const (
	datagramSize = 10

	kindPing byte = 1
	kindPong byte = 2

	flagOpen  byte = 1 // takes queries
	flagAlone byte = 2 // reaches no other domain
)

// pinger pings the hosts that this one hands queries to, and answers pings.
type pinger struct {
	front *Front
	conn  *net.UDPConn
	// waits is when the oldest unanswered ping of each host was sent.
	waits map[ident.HostID]ident.Instant
	hosts map[netip.AddrPort]gather.Host
	pongs chan pong
}

// pong is the answer of a host.
type pong struct {
	from  netip.AddrPort
	flags byte
	sent  ident.Instant
}

// pingPeers keeps track of the hosts that queries are handed to until ctx ends.
func (f *Front) pingPeers(ctx context.Context) error {
	address, err := net.ResolveUDPAddr("udp4", f.cfg.Bind)
	if err != nil {
		return errors.Wrapf(err, "the address for other hosts %s is not IP:port", f.cfg.Bind)
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return errors.Wrapf(err, "cannot listen for pings on %s", f.cfg.Bind)
	}
	p := &pinger{
		front: f,
		conn:  conn,
		waits: make(map[ident.HostID]ident.Instant),
		hosts: make(map[netip.AddrPort]gather.Host),
		pongs: make(chan pong, inputSize),
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	go p.run(ctx)
	return p.read(ctx)
}

// read answers pings and passes pongs on.
func (p *pinger) read(ctx context.Context) error {
	b := make([]byte, datagramSize+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(b)
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil:
			// Linux reports here that an earlier datagram found no listener.
			p.front.log.Debug("ping failed", "Error", err.Error())
		case n != datagramSize:
		case b[0] == kindPing:
			b[0], b[1] = kindPong, p.front.pingFlags()
			p.send(b[:n], from)
		case b[0] == kindPong:
			select {
			case p.pongs <- pong{
				from:  netip.AddrPortFrom(from.Addr().Unmap(), from.Port()),
				flags: b[1],
				sent:  ident.Instant(binary.BigEndian.Uint64(b[2:])) * ident.Instant(time.Microsecond),
			}:
			default: // the next pong will do
			}
		}
	}
}

func (f *Front) pingFlags() (flags byte) {
	if !f.draining.Load() && f.table.Load() != nil {
		flags |= flagOpen
	}
	if f.peers.alone(f.now()) {
		flags |= flagAlone
	}
	return flags
}

// send sends a datagram. One that is lost is like one that is not answered.
func (p *pinger) send(b []byte, to netip.AddrPort) {
	if _, err := p.conn.WriteToUDPAddrPort(b, to); err != nil {
		p.front.log.Debug("ping failed", "Error", err.Error())
	}
}

func (p *pinger) run(ctx context.Context) {
	tick := time.NewTicker(pingEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-p.pongs:
			p.answered(a)
		case <-tick.C:
			p.pingAll()
		}
	}
}

// pingAll notes the hosts that do not answer and pings all.
func (p *pinger) pingAll() {
	f := p.front
	clear(p.hosts)
	now := f.now()
	b := make([]byte, datagramSize)
	b[0] = kindPing
	binary.BigEndian.PutUint64(b[2:], uint64(time.Duration(now).Microseconds()))
	for _, h := range f.peers.watched() {
		to, err := netip.ParseAddrPort(h.Link)
		if err != nil {
			f.log.Warn("host has no address to ping; run the same release on all hosts", "Gatherer", string(h.ID), "Error", err.Error())
			continue
		}
		p.hosts[to] = h
		since, waits := p.waits[h.ID]
		switch {
		case !waits:
			p.waits[h.ID] = now
		case now.Sub(since) > pingTimeout:
			p.note(h, gather.Ping{
				Now:  now,
				Took: now.Sub(since),
			})
		}
		p.send(b, to)
	}
	if alone := f.peers.alone(now); alone != f.alone.Load() {
		f.alone.Store(alone)
		f.log.Info("contact with other domains changed", "Alone", alone)
	}
}

func (p *pinger) answered(a pong) {
	h, ok := p.hosts[a.from]
	if !ok {
		return
	}
	delete(p.waits, h.ID)
	now := p.front.now()
	p.note(h, gather.Ping{
		Now:      now,
		Answered: true,
		Took:     now.Sub(a.sent),
		Open:     a.flags&flagOpen != 0,
		Isolated: a.flags&flagAlone != 0,
	})
}

func (p *pinger) note(h gather.Host, ev gather.Ping) {
	f := p.front
	good, changed := f.peers.pinged(h, ev)
	if changed {
		f.tellGatherers()
		f.log.Info("gatherer changed", "Gatherer", string(h.ID), "Good", good, "RoundTripMicros", ev.Took.Microseconds())
	}
}
