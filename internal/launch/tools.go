package launch

import (
	"context"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/jujubethread/jujubethread/internal/fault"
	"github.com/jujubethread/jujubethread/internal/keys"
	"github.com/jujubethread/jujubethread/internal/leaf"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

const (
	leafQueueBound   = 16  // requests
	leafSigma        = 0.3 // of the logarithm of the service time
	testCertLifetime = 365 * 24 * time.Hour
)

// leaf serves a stand-in upstream until it is interrupted, then drains.
func (j *job) leaf(ctx context.Context) error {
	o := j.opt
	l, err := leaf.New(leaf.Config{
		Upstream: config.Upstream{
			ID:        ident.Upstream(o.Host),
			Address:   o.Listen,
			Domain:    o.Domain,
			Index:     o.Index,
			Service:   o.Service,
			Shards:    o.Shards,
			Slots:     o.Slots,
			ConnLimit: o.ConnLimit,
			Phase:     config.Active,
		},
		Control:      o.FaultListen,
		Seed:         o.Seed,
		Versions:     []ident.IndexVersion{1},
		QueueBound:   leafQueueBound,
		ConnectDelay: o.ConnCost,
		ServiceTime: leaf.ServiceTime{
			Median: o.ServiceTime,
			Sigma:  leafSigma,
		},
		DrainPeriod: o.Grace,
		Log:         j.logger(),
	})
	if err != nil {
		return err
	}
	return l.Run(ctx)
}

// proxy forwards connections, with injected faults, until it is interrupted.
func (j *job) proxy(ctx context.Context) error {
	proxies, err := fault.NewGroup([]fault.Config{{
		Name:   string(j.opt.Host),
		Listen: j.opt.Listen,
		Target: j.opt.To,
		Seed:   j.opt.Seed,
		Log:    j.logger(),
	}})
	if err != nil {
		return err
	}
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.Go(func() error { return proxies.Run(ctx) })
	if j.opt.FaultListen != "" {
		listener, err := net.Listen("tcp", j.opt.FaultListen)
		if err != nil {
			return errors.Wrap(err, "address for faults cannot be opened: free it or choose another with -fault-listen")
		}
		tasks.Go(func() error { return proxies.Serve(ctx, listener) })
	}
	return tasks.Wait()
}

// keys opens the test certificate authority in the output folder, or creates it,
// and issues a certificate for each host.
func (j *job) keys(context.Context) error {
	now := time.Now()
	if err := os.MkdirAll(j.opt.Out, 0o700); err != nil {
		return errors.Wrap(err, "folder for certificates cannot be made")
	}
	authority, err := keys.OpenAuthority(j.opt.Out, now)
	if err != nil {
		authority, err = keys.MakeAuthority(j.opt.Out, testCertLifetime, now)
	}
	if err != nil {
		return err
	}
	for _, h := range j.opt.Hosts {
		ip := net.ParseIP(h.Address)
		if ip == nil {
			return &usageError{text: fmt.Sprintf("-hosts has %q for %s: use an IP number", h.Address, h.Name)}
		}
		files, err := authority.Issue(j.opt.Out, keys.Spec{
			Host:      h.Name,
			Role:      j.opt.Role,
			Addresses: []net.IP{ip},
			Life:      testCertLifetime,
			Now:       now,
		})
		if err != nil {
			return err
		}
		fmt.Fprintf(j.out, "%s: -ca %s -cert %s -key %s\n", h.Name, files.CA, files.Cert, files.Key)
	}
	return nil
}
