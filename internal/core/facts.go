package core

import (
	"context"
	"net"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/gram"
	"github.com/jujubethread/jujubethread/pkg/gossip"
)

// keepFacts remembers what entry hosts tell each other, for those that restart
// or return from a partition, until ctx ends.
func (c *Core) keepFacts(ctx context.Context) error {
	bind := c.cfg.Bind
	if bind == "" {
		bind = c.cfg.Link
	}
	address, err := net.ResolveUDPAddr("udp4", bind)
	if err != nil {
		return errors.Wrapf(err, "the address for other hosts %s is not IP:port", bind)
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return errors.Wrapf(err, "cannot listen for datagrams on %s: free the port", bind)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	facts := gossip.New(0)
	b := make([]byte, gram.MaxBytes+1)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(b)
		if ctx.Err() != nil {
			return nil
		}
		var in gram.Gossip
		if err != nil || n == 0 || n > gram.MaxBytes || b[0] != gram.KindGossip || gram.Decode(b[:n], &in) != nil {
			continue // a fault of one datagram, or one of another release
		}
		now := c.watchState.Now()
		for _, f := range gossip.ReceiveAll(now, in.Facts) {
			facts.Keep(now, f)
		}
		if !in.Pull {
			continue
		}
		facts.Due(now) // drops what has ended
		out, err := gram.Encode(gram.KindGossip, gram.Gossip{Facts: gossip.SendAll(now, facts.Facts())})
		if err == nil {
			_, err = conn.WriteToUDPAddrPort(out, from)
		}
		if err != nil {
			c.log.Debug("datagram could not be sent", "Kind", gram.KindGossip, "Error", err.Error())
		}
	}
}
