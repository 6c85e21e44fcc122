package front

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/gram"
	"github.com/jujubethread/jujubethread/pkg/gather"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

const (
	// pingInterval is the time between two pings of a host. A ping is one datagram
	// each way: as RPCs, pings took 20% of the CPU of a gatherer with 26 hosts in
	// its domain.
	pingInterval = 150 * time.Millisecond

	// pingTimeout is how long a host may leave pings unanswered. It covers two
	// pings, so that one lost datagram does not count as a failure.
	pingTimeout = 320 * time.Millisecond
)

// A datagram of kind kindPing or kindPong consists of its kind, flags, and the time of the ping in
// microseconds on the clock of the host that sent the ping.
const (
	datagramSize = 10

	kindPing   byte = 1
	kindPong   byte = 2
	kindDemand byte = 3
	kindGrant  byte = 4

	flagAccepting byte = 1 // accepts queries
	flagIsolated  byte = 2 // reaches no other domain
)

// pinger pings the hosts that this one delegates queries to, and answers pings.
type pinger struct {
	front *Front
	conn  *net.UDPConn
	// unansweredSince is when the oldest unanswered ping of each host was sent.
	unansweredSince map[ident.HostID]ident.Instant
	hosts           map[netip.AddrPort]gather.Host
	pongs           chan pong
}

// pong is the answer to a ping. sent is when the ping was sent, on the clock of
// this host.
type pong struct {
	from  netip.AddrPort
	flags byte
	sent  ident.Instant
}

// listenDatagrams opens the socket for pings and messages between hosts.
func (f *Front) listenDatagrams() error {
	address, err := net.ResolveUDPAddr("udp4", f.cfg.Bind)
	if err != nil {
		return errors.Wrapf(err, "the address for other hosts %s is not IP:port", f.cfg.Bind)
	}
	if f.datagrams, err = net.ListenUDP("udp4", address); err != nil {
		return errors.Wrapf(err, "cannot listen for pings on %s", f.cfg.Bind)
	}
	return nil
}

// pingPeers pings the hosts that queries are delegated to until ctx ends.
func (f *Front) pingPeers(ctx context.Context) error {
	conn := f.datagrams
	p := &pinger{
		front:           f,
		conn:            conn,
		unansweredSince: make(map[ident.HostID]ident.Instant),
		hosts:           make(map[netip.AddrPort]gather.Host),
		pongs:           make(chan pong, inputQueueSize),
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	go p.run(ctx)
	return p.read(ctx)
}

// read answers pings and queues pongs for run.
func (p *pinger) read(ctx context.Context) error {
	b := make([]byte, gram.MaxBytes+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(b)
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil:
			// On Linux a read also reports that an earlier datagram reached a
			// closed port.
			p.front.log.Debug("ping failed", "Error", err.Error())
		case n > 0 && n <= gram.MaxBytes && b[0] > kindPong:
			p.front.receive(b[:n], from)
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
			default: // queue full: the next pong replaces it
			}
		}
	}
}

func (f *Front) pingFlags() (flags byte) {
	if !f.draining.Load() && f.table.Load() != nil && f.hasList.Load() {
		flags |= flagAccepting
	}
	if f.peers.isolated(f.now()) {
		flags |= flagIsolated
	}
	return flags
}

// send sends a datagram. An error needs no handling: the ping then counts as
// unanswered.
func (p *pinger) send(b []byte, to netip.AddrPort) {
	if _, err := p.conn.WriteToUDPAddrPort(b, to); err != nil {
		p.front.log.Debug("ping failed", "Error", err.Error())
	}
}

func (p *pinger) run(ctx context.Context) {
	tick := time.NewTicker(pingInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-p.pongs:
			p.handlePong(a)
		case <-tick.C:
			p.pingAll()
		}
	}
}

// pingAll records the hosts whose pings have timed out, and pings all hosts.
func (p *pinger) pingAll() {
	f := p.front
	clear(p.hosts)
	now := f.now()
	b := make([]byte, datagramSize)
	b[0] = kindPing
	binary.BigEndian.PutUint64(b[2:], uint64(time.Duration(now).Microseconds()))
	for _, h := range f.peers.pingTargets() {
		to, err := netip.ParseAddrPort(h.Link)
		if err != nil {
			f.log.Warn("host has no address to ping; run the same release on all hosts", "Gatherer", string(h.ID), "Error", err.Error())
			continue
		}
		p.hosts[to] = h
		since, waiting := p.unansweredSince[h.ID]
		switch {
		case !waiting:
			p.unansweredSince[h.ID] = now
		case now.Sub(since) > pingTimeout:
			p.record(h, gather.Ping{
				Now:  now,
				Took: now.Sub(since),
			})
		}
		p.send(b, to)
	}
	f.tickAccounts()
	if isolated := f.peers.isolated(now); isolated != f.isolated.Load() {
		f.isolated.Store(isolated)
		f.log.Info("contact with other domains changed", "Alone", isolated)
		f.inputs <- input{rejoined: true}
	}
}

func (p *pinger) handlePong(a pong) {
	h, ok := p.hosts[a.from]
	if !ok {
		return
	}
	delete(p.unansweredSince, h.ID)
	now := p.front.now()
	p.record(h, gather.Ping{
		Now:      now,
		Answered: true,
		Took:     now.Sub(a.sent),
		Open:     a.flags&flagAccepting != 0,
		Isolated: a.flags&flagIsolated != 0,
	})
}

func (p *pinger) record(h gather.Host, ev gather.Ping) {
	f := p.front
	usable, changed := f.peers.recordPing(h, ev)
	if changed {
		f.updateGatherers()
		f.log.Info("gatherer changed", "Gatherer", string(h.ID), "Good", usable, "RoundTripMicros", ev.Took.Microseconds())
	}
}
