package agent

import (
	"context"
	"time"

	"github.com/jujubethread/jujubethread/internal/link"
	"github.com/jujubethread/jujubethread/internal/proto"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/follow"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/member"
)

// stepFollower passes an event to the reducer that follows the configuration
// and carries out the effects.
func (a *Agent) stepFollower(event follow.Event) {
	for _, eff := range a.follower.Step(a.now(), event) {
		switch eff := eff.(type) {
		case follow.Watch:
			a.cfg.Log.Info("watching the configuration", "Source", eff.To, "Version", eff.Have.String())
			a.openStream(eff.Stream, eff.To, proto.MethodWatch, &proto.Watch{
				From:   a.cfg.Host,
				Have:   eff.Have,
				Digest: eff.Digest,
			})
		case follow.Pull:
			a.openStream(eff.Stream, eff.To, proto.MethodPull, &proto.Pull{
				From:   a.cfg.Host,
				Have:   eff.Have,
				Digest: eff.Digest,
			})
		case follow.CloseStream:
			if cancel, ok := a.streams[eff.Stream]; ok {
				delete(a.streams, eff.Stream)
				cancel()
			}
		case follow.AskVersion:
			a.requestVersion(eff)
		case follow.Apply:
			a.feed.Set(eff.State, eff.Deltas)
			sendLatest(a.configs, eff.State)
			a.stepHolder(member.ConfigApplied{
				Version: eff.State.Version,
				Seats:   eff.State.Seats,
			})
		case follow.Wake:
			a.setTimer(followerTimer, eff.At)
		}
	}
}

// openStream starts a watch or pull stream, which runs until it ends or is
// closed.
func (a *Agent) openStream(id uint64, to, method string, in any) {
	ctx, cancel := context.WithCancel(a.ctx)
	a.streams[id] = cancel
	a.spawn(func(context.Context) {
		defer cancel()
		err := a.receiveUpdates(ctx, id, to, method, in)
		if ctx.Err() != nil {
			return
		}
		a.cfg.Log.Debug("stream ended", "Source", to, "Method", method, "Error", err)
		a.post(func() {
			delete(a.streams, id)
			a.stepFollower(follow.StreamEnded{Stream: id})
		})
	})
}

func (a *Agent) receiveUpdates(ctx context.Context, id uint64, to, method string, in any) error {
	stream, err := a.client.Stream(ctx, to, method, in)
	if err != nil {
		return err
	}
	defer stream.Close()
	var parts proto.Assembler
	for {
		var u proto.Update
		if err := stream.Recv(&u); err != nil {
			return err
		}
		event := follow.Received{
			Stream:  id,
			Version: u.Version,
			Stale:   u.Stale,
			Deltas:  u.Deltas,
		}
		if u.Part != nil {
			if event.Copy, err = parts.Add(u.Part); err != nil {
				return err
			}
			event.Partial = event.Copy == nil
		}
		a.post(func() { a.stepFollower(event) })
	}
}

func (a *Agent) requestVersion(eff follow.AskVersion) {
	a.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, follow.VersionTimeout)
		defer cancel()
		var out proto.VersionAnswer
		err := a.client.Call(ctx, eff.To, proto.MethodVersion, &proto.VersionQuery{}, &out)
		a.post(func() {
			if err != nil {
				a.stepFollower(follow.VersionFailed{Attempt: eff.Attempt})
				return
			}
			a.stepFollower(follow.VersionAnswered{
				Attempt: eff.Attempt,
				Version: out.Version,
				Stale:   out.Stale,
			})
		})
	})
}

// stepHolder passes an event to the reducer of heartbeats and seats and carries
// out the effects.
func (a *Agent) stepHolder(event member.HolderEvent) {
	for _, eff := range a.holder.Step(a.now(), event) {
		switch eff := eff.(type) {
		case member.SendBeat:
			a.sendHeartbeat(eff)
		case member.SeatChanged:
			a.cfg.Log.Info("connection seat changed", "Seat", string(eff.Seat), "Number", eff.Number)
			sendLatest(a.seats, eff.Seat)
		case member.PeersChanged:
			peers := a.mergePeers(eff.Peers)
			a.setGossipPeers(peers)
			a.stepFollower(follow.PeersChanged{Peers: peers})
		case member.WakeHolder:
			a.setTimer(holderTimer, eff.At)
		}
	}
}

// mergePeers returns the peers named by the leader and those of Config.Peers,
// without this host and duplicates.
func (a *Agent) mergePeers(named []member.Peer) []follow.Source {
	list := make([]follow.Source, 0, len(named)+len(a.cfg.Peers))
	seen := map[string]bool{a.cfg.Advertise: true}
	add := func(address string, domain ident.Domain) {
		if !seen[address] {
			seen[address] = true
			list = append(list, follow.Source{
				Address: address,
				Domain:  domain,
			})
		}
	}
	for _, p := range named {
		add(p.Address, p.Domain)
	}
	for _, p := range a.cfg.Peers {
		add(p.Address, p.Domain)
	}
	return list
}

func (a *Agent) sendHeartbeat(eff member.SendBeat) {
	demand := a.demand.Swap(nil)
	if demand == nil {
		demand = &engine.Report{}
	}
	a.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, member.AnswerTimeout)
		defer cancel()
		var out proto.HeartbeatAnswer
		err := a.call(ctx, eff.To, proto.MethodHeartbeat, &proto.Heartbeat{
			Beat:    eff.Beat,
			Demands: demand.Demands,
		}, &out)
		a.post(func() {
			if err != nil {
				a.stepHolder(member.Failed{Attempt: eff.Attempt})
				return
			}
			if len(out.Grants) > 0 {
				sendLatest(a.grants, engine.ShareGranted{
					Sent:   demand.At,
					Grants: out.Grants,
				})
			}
			a.stepHolder(member.Answered{
				Attempt: eff.Attempt,
				Answer:  out.Answer,
				Leader:  out.Leader,
			})
		})
	})
}

// call makes a call. It logs failures that an operator must fix, such as an
// untrusted certificate or an incompatible version.
func (a *Agent) call(ctx context.Context, to, method string, in, out any) error {
	began := time.Now()
	err := a.client.Call(ctx, to, method, in, out)
	switch link.KindOf(err) {
	case link.Untrusted, link.Insecure, link.NoMethod, link.Malformed:
		a.cfg.Log.Error("call failed", "Error", err, "Took", time.Since(began))
	}
	return err
}
