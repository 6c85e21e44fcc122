// Package peer carries the messages of the replicated log and requests for
// the leader between control hosts.
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

// packet is the payload of a proto.Peer message: messages of the replicated
// log, or one request for the leader, whose Answer is the payload of the answer.
type packet struct {
	// Address is where the sender is reached. A host that joins a group has
	// no member list yet and answers there.
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

func wrap(m quorum.Message) envelope {
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

// Handler is the control host that a Link serves.
type Handler interface {
	// Deliver takes a message; it does not block.
	Deliver(m quorum.Message)
	// Local runs a request on this host only.
	Local(ctx context.Context, r Request) Answer
}

// Link is the Transport over internal/link. Each member has a queue and a
// goroutine that sends what has gathered in it as one call.
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
	queues  map[string]chan quorum.Message
	learned map[ident.HostID]string
}

// Listen listens for other hosts on an address; port 0 takes a free one. Run
// or Close must follow.
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
		log:      cfg.Log,
		client:   client,
		server:   server,
		listener: lis,
		address:  lis.Addr().String(),
		queues:   map[string]chan quorum.Message{},
		learned:  map[ident.HostID]string{},
	}
	link.Handle(server, proto.MethodPeer, p.serve)
	return p, nil
}

// Address returns the address that is listened on.
func (p *Link) Address() string { return p.address }

// Server returns the server, to register further methods before Run.
func (p *Link) Server() *link.Server { return p.server }

// Close releases a Link that was not run.
func (p *Link) Close() {
	_ = p.listener.Close()
	_ = p.client.Close()
}

// Run serves other hosts for the member id until ctx ends.
func (p *Link) Run(ctx context.Context, id ident.HostID, h Handler) error {
	p.mu.Lock()
	p.ctx, p.id, p.handler = ctx, id, h
	p.mu.Unlock()
	err := p.server.Serve(ctx, p.listener)
	p.senders.Wait()
	_ = p.client.Close()
	return err
}

// Send implements Transport.
func (p *Link) Send(to quorum.Member, m quorum.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	address := to.Address
	if address == "" {
		address = p.learned[to.ID]
	}
	if address == "" || p.ctx == nil || p.ctx.Err() != nil {
		return
	}
	queue, ok := p.queues[address]
	if !ok {
		queue = make(chan quorum.Message, queueSize)
		p.queues[address] = queue
		ctx := p.ctx
		p.senders.Go(func() { p.drain(ctx, address, queue) })
	}
	select {
	case queue <- m:
	default:
	}
}

func (p *Link) drain(ctx context.Context, address string, queue <-chan quorum.Message) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-queue:
			p.deliver(ctx, address, gather(m, queue))
		}
	}
}

// gather takes what waits in the queue, up to the bound of one call.
func gather(m quorum.Message, queue <-chan quorum.Message) []envelope {
	batch, size := []envelope{wrap(m)}, messageSize(m)
	for size < callBytes {
		select {
		case m = <-queue:
			batch = append(batch, wrap(m))
			size += messageSize(m)
		default:
			return batch
		}
	}
	return batch
}

func messageSize(m quorum.Message) int {
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

func (p *Link) deliver(ctx context.Context, address string, batch []envelope) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := p.call(ctx, address, packet{Messages: batch}); err != nil {
		p.log.Debug("messages to a member were lost", "address", address, "error", err)
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

// serve handles the packets of other members.
func (p *Link) serve(ctx context.Context, in *proto.Peer) (*proto.PeerAnswer, error) {
	if from := link.PeerOf(ctx); from.Host != "" && from.Role != controlRole {
		return nil, errors.Errorf("host %s has the role %q: only control hosts are members", from.Host, from.Role)
	}
	var got packet
	if err := proto.Unmarshal(in.Payload, &got); err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.learned[in.From] = got.Address
	p.mu.Unlock()
	for _, e := range got.Messages {
		if m, ok := e.message(); ok {
			p.handler.Deliver(m)
		}
	}
	if got.Request == nil {
		return &proto.PeerAnswer{}, nil
	}
	payload, err := proto.Marshal(p.handler.Local(ctx, *got.Request))
	return &proto.PeerAnswer{Payload: payload}, err
}
