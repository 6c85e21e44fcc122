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

// followPlatformList reads the platform's list of live entry hosts at each
// platformListInterval and passes it to the membership table while this member
// leads. The list can only delay the release of the seats of unresponsive hosts;
// it never releases one.
func (h *Host) followPlatformList(ctx context.Context) error {
	if h.cfg.PlatformList == "" {
		return nil
	}
	tick := time.NewTicker(platformListInterval)
	defer tick.Stop()
	for {
		hosts, err := readHosts(h.cfg.PlatformList)
		if err != nil {
			h.log.Warn("platform list cannot be read", "error", err)
		} else {
			_ = h.runOnOwner(ctx, func(o *owner) {
				if o.syncLeadership() {
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

// readHosts reads one host id per line and skips empty lines.
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

// checkCertificateHost refuses a message whose claimed sender is not the host
// named by the connection's certificate. It has no effect in plaintext.
func checkCertificateHost(ctx context.Context, claimed ident.HostID) error {
	if from := link.PeerOf(ctx).Host; from != "" && from != string(claimed) {
		return errors.Errorf("message in the name of host %s came with the certificate of %s: issue a certificate with the host's own name", claimed, from)
	}
	return nil
}
