package ctrl

import (
	"bufio"
	"bytes"
	"context"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/link"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/member"
)

// followPlatform reads the platform's list of live entry hosts every second
// and tells it to the table while this member leads. The list only holds seats
// of silent hosts back; it gives no seat away.
func (h *Host) followPlatform(ctx context.Context) error {
	if h.cfg.PlatformList == "" {
		return nil
	}
	tick := time.NewTicker(platformEvery)
	defer tick.Stop()
	for {
		hosts, err := readHosts(h.cfg.PlatformList)
		if err != nil {
			h.log.Warn("platform list cannot be read", "error", err)
		} else {
			_ = h.ask(ctx, func(o *owner) {
				if o.followLead() {
					o.stepTable(member.Listed{Hosts: hosts})
				}
			})
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// readHosts reads one host id a line; empty lines do not count.
func readHosts(file string) ([]ident.HostID, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var hosts []ident.HostID
	lines := bufio.NewScanner(bytes.NewReader(raw))
	for lines.Scan() {
		if id := bytes.TrimSpace(lines.Bytes()); len(id) > 0 {
			hosts = append(hosts, ident.HostID(id))
		}
	}
	return hosts, lines.Err()
}

// sameHost refuses a message in the name of a host that is not the owner of
// the caller's certificate. It has no effect in plaintext.
func sameHost(ctx context.Context, claimed ident.HostID) error {
	if from := link.PeerOf(ctx).Host; from != "" && from != string(claimed) {
		return errors.Errorf("message in the name of host %s came with the certificate of %s: issue a certificate with the host's own name", claimed, from)
	}
	return nil
}
