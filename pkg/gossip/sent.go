package gossip

import (
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Sent is a Fact on its way to another host. Its times count from the sending, as
// the clocks of hosts differ.
type Sent struct {
	_          struct{} `cbor:",toarray"`
	Topic      Topic
	Key        [16]byte
	AgeMillis  int64
	LeftMillis int64
	Body       []byte
}

// Send returns the fact to be sent at now.
func (f Fact) Send(now ident.Instant) Sent {
	return Sent{
		Topic:      f.Topic,
		Key:        f.Key,
		AgeMillis:  now.Sub(f.At).Milliseconds(),
		LeftMillis: f.Until.Sub(now).Milliseconds(),
		Body:       f.Body,
	}
}

// SendAll returns facts to be sent at now.
func SendAll(now ident.Instant, facts []Fact) []Sent {
	list := make([]Sent, 0, len(facts))
	for _, f := range facts {
		list = append(list, f.Send(now))
	}
	return list
}

// ReceiveAll returns the facts of a message that was received at now, at most
// MaxMessageFacts.
func ReceiveAll(now ident.Instant, sent []Sent) []Fact {
	facts := make([]Fact, 0, len(sent))
	for _, s := range sent[:min(len(sent), MaxMessageFacts)] {
		facts = append(facts, Fact{
			ID: ID{
				Topic: s.Topic,
				Key:   s.Key,
			},
			At:    now.Add(-max(0, time.Duration(s.AgeMillis)*time.Millisecond)),
			Until: now.Add(time.Duration(s.LeftMillis) * time.Millisecond),
			Body:  s.Body,
		})
	}
	return facts
}
