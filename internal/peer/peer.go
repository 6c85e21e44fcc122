// Package peer sends messages of the replicated log and requests for the leader
// between control hosts.
package peer

import (
	"context"
	"log/slog"
	"net"
	"sync"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/link"
	"github.com/jujubethread/jujubethread/internal/proto"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// packet is the payload of a proto.Peer message. It contains either messages of
// the replicated log or one request for the leader; the encoded Answer to that
// request is the payload of the proto.PeerAnswer.
type packet struct {
	// Address is the address that the sender listens on. A host that joins a
	// group has no member list yet and sends its replies there.
	Address  string
	Messages []envelope `cbor:",omitempty"`
	Request  *Request   `cbor:",omitempty"`
}

// envelope is a quorum.Message in which exactly one body is set.
type envelope struct {
	From, To        ident.HostID
	Term            quorum.Term
	VoteRequest     *quorum.VoteRequest     `cbor:",omitempty"`
	VoteReply       *quorum.VoteReply       `cbor:",omitempty"`
	AppendRequest   *quorum.AppendRequest   `cbor:",omitempty"`
	AppendReply     *quorum.AppendReply     `cbor:",omitempty"`
	SnapshotRequest *quorum.SnapshotRequest `cbor:",omitempty"`
	SnapshotReply   *quorum.SnapshotReply   `cbor:",omitempty"`
	TimeoutNow      *quorum.TimeoutNow      `cbor:",omitempty"`
}

func newEnvelope(m quorum.Message) envelope {
	e := envelope{
		From: m.From,
		To:   m.To,
		Term: m.Term,
	}
	switch b := m.Body.(type) {
	case quorum.VoteRequest:
		e.VoteRequest = &b
	case quorum.VoteReply:
		e.VoteReply = &b
	case quorum.AppendRequest:
		e.AppendRequest = &b
	case quorum.AppendReply:
		e.AppendReply = &b
	case quorum.SnapshotRequest:
		e.SnapshotRequest = &b
	case quorum.SnapshotReply:
		e.SnapshotReply = &b
	case quorum.TimeoutNow:
		e.TimeoutNow = &b
	}
	return e
}

func (e envelope) message() (quorum.Message, bool) {
	m := quorum.Message{
		From: e.From,
		To:   e.To,
		Term: e.Term,
	}
	switch {
	case e.VoteRequest != nil:
		m.Body = *e.VoteRequest
	case e.VoteReply != nil:
		m.Body = *e.VoteReply
	case e.AppendRequest != nil:
		m.Body = *e.AppendRequest
	case e.AppendReply != nil:
		m.Body = *e.AppendReply
	case e.SnapshotRequest != nil:
		m.Body = *e.SnapshotRequest
	case e.SnapshotReply != nil:
		m.Body = *e.SnapshotReply
	case e.TimeoutNow != nil:
		m.Body = *e.TimeoutNow
	}
	return m, m.Body != nil
}

// Handler processes what a Link receives. The control host implements it.
type Handler interface {
	// Deliver processes a message of the replicated log. It must not block.
	Deliver(m quorum.Message)
	// Local handles a request without forwarding it to another host.
	Local(ctx context.Context, r Request) Answer
}

// Link implements Transport with internal/link. Each member address has a queue
// and a goroutine that sends the queued messages in batches, one call each.
type Link struct {
	log      *slog.Logger
	client   *link.Client
	server   *link.Server
	listener net.Listener
	address  string
	id       ident.HostID
	handler  Handler

	mu      sync.Mutex
	ctx     context.Context
	senders sync.WaitGroup
	// queues contains the queue of each address.
	queues map[string]chan quorum.Message
	// learnedAddresses maps the senders of received packets to their addresses.
	learnedAddresses map[ident.HostID]string
}

// Listen opens a listener for other control hosts at address (IP:port, where
// port 0 selects a free one). The caller must then call Run or Close.
func Listen(cfg link.Config, address string) (*Link, error) {
	client, err := link.NewClient(cfg)
	if err != nil {
		return nil, err
	}
	server, err := link.NewServer(cfg)
	if err != nil {
		return nil, err
	}
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "cannot listen for other hosts on %s", address)
	}
	p := &Link{
		log:              cfg.Log,
		client:           client,
		server:           server,
		listener:         lis,
		address:          lis.Addr().String(),
		queues:           map[string]chan quorum.Message{},
		learnedAddresses: map[ident.HostID]string{},
	}
	link.Handle(server, proto.MethodPeer, p.serve)
	return p, nil
}

// Address returns the IP:port that the Link listens on.
func (p *Link) Address() string { return p.address }

// Server returns the server, so that further methods can be registered before
// Run.
func (p *Link) Server() *link.Server { return p.server }

// Close closes the listener and the client of a Link whose Run was not called.
func (p *Link) Close() {
	_ = p.listener.Close()
	_ = p.client.Close()
}

// Run serves other hosts as member id until ctx is done.
func (p *Link) Run(ctx context.Context, id ident.HostID, h Handler) error {
	p.mu.Lock()
	p.ctx, p.id, p.handler = ctx, id, h
	p.mu.Unlock()
	err := p.server.Serve(ctx, p.listener)
	p.senders.Wait()
	_ = p.client.Close()
	return err
}

// Send implements Transport. It drops the message if the queue is full or the
// address of the member is unknown.
func (p *Link) Send(to quorum.Member, m quorum.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	address := to.Address
	if address == "" {
		address = p.learnedAddresses[to.ID]
	}
	if address == "" || p.ctx == nil || p.ctx.Err() != nil {
		return
	}
	queue, ok := p.queues[address]
	if !ok {
		queue = make(chan quorum.Message, queueSize)
		p.queues[address] = queue
		ctx := p.ctx
		p.senders.Go(func() { p.sendQueued(ctx, address, queue) })
	}
	select {
	case queue <- m:
	default:
	}
}

func (p *Link) sendQueued(ctx context.Context, address string, queue <-chan quorum.Message) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-queue:
			p.sendBatch(ctx, address, collectBatch(m, queue))
		}
	}
}

// collectBatch returns m and the messages already queued, up to maxCallBytes.
func collectBatch(m quorum.Message, queue <-chan quorum.Message) []envelope {
	batch, size := []envelope{newEnvelope(m)}, dataSize(m)
	for size < maxCallBytes {
		select {
		case m = <-queue:
			batch = append(batch, newEnvelope(m))
			size += dataSize(m)
		default:
			return batch
		}
	}
	return batch
}

func dataSize(m quorum.Message) int {
	switch b := m.Body.(type) {
	case quorum.AppendRequest:
		size := 0
		for _, e := range b.Entries {
			size += len(e.Data)
		}
		return size
	case quorum.SnapshotRequest:
		return len(b.Chunk)
	case quorum.VoteRequest, quorum.VoteReply, quorum.AppendReply, quorum.SnapshotReply, quorum.TimeoutNow:
	}
	return 0
}

func (p *Link) sendBatch(ctx context.Context, address string, batch []envelope) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := p.call(ctx, address, packet{Messages: batch}); err != nil {
		p.log.Debug("sending messages to a member failed", "address", address, "error", err)
	}
}

func (p *Link) call(ctx context.Context, address string, out packet) ([]byte, error) {
	out.Address = p.address
	payload, err := proto.Marshal(out)
	if err != nil {
		return nil, err
	}
	var answer proto.PeerAnswer
	err = p.client.Call(ctx, address, proto.MethodPeer, &proto.Peer{
		From:    p.id,
		Payload: payload,
	}, &answer)
	return answer.Payload, err
}

// Forward implements Transport.
func (p *Link) Forward(ctx context.Context, to quorum.Member, r Request) (Answer, error) {
	payload, err := p.call(ctx, to.Address, packet{Request: &r})
	if link.NotRun(err) {
		return Answer{}, &NotSentError{
			To:    to.ID,
			Cause: err,
		}
	}
	if err != nil {
		return Answer{}, err
	}
	var a Answer
	return a, proto.Unmarshal(payload, &a)
}

// serve handles a packet from another member.
func (p *Link) serve(ctx context.Context, in *proto.Peer) (*proto.PeerAnswer, error) {
	if caller := link.PeerOf(ctx); caller.Host != "" && caller.Role != controlRole {
		return nil, errors.Errorf("host %s has the role %q: only control hosts are members", caller.Host, caller.Role)
	}
	var pkt packet
	if err := proto.Unmarshal(in.Payload, &pkt); err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.learnedAddresses[in.From] = pkt.Address
	p.mu.Unlock()
	for _, e := range pkt.Messages {
		if m, ok := e.message(); ok {
			p.handler.Deliver(m)
		}
	}
	if pkt.Request == nil {
		return &proto.PeerAnswer{}, nil
	}
	payload, err := proto.Marshal(p.handler.Local(ctx, *pkt.Request))
	return &proto.PeerAnswer{Payload: payload}, err
}
