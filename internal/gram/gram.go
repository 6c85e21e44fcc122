// Package gram encodes the datagrams by which hosts of the platform tell each
// other facts (see package gossip).
package gram

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/pkg/gossip"
)

// MaxBytes bounds all datagrams, so that they are not fragmented.
const MaxBytes = 1400

// KindGossip is the first byte of a datagram with a Gossip message. The other
// kinds are those of package front.
const KindGossip byte = 5

// Gossip carries facts. Pull asks for those of the other host in return.
type Gossip struct {
	_     struct{} `cbor:",toarray"`
	Pull  bool
	Facts []gossip.Sent
}

// Encode returns a datagram that consists of its kind and a CBOR message.
func Encode(kind byte, message any) ([]byte, error) {
	b, err := cbor.Marshal(message)
	if err != nil {
		return nil, errors.Wrapf(err, "message of kind %d cannot be encoded: report this", kind)
	}
	return append([]byte{kind}, b...), nil
}

// Decode decodes the message of a datagram that Encode returned.
func Decode(b []byte, message any) error {
	return errors.Wrap(cbor.Unmarshal(b[1:], message), "datagram cannot be decoded; run the same release on all hosts")
}
