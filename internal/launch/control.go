package launch

import (
	"context"
	"fmt"
	"log/slog"

	"github.com/jujubethread/jujubethread/internal/ctrl"
	"github.com/jujubethread/jujubethread/internal/guard"
	"github.com/jujubethread/jujubethread/internal/keys"
	"github.com/jujubethread/jujubethread/internal/link"
	"github.com/jujubethread/jujubethread/internal/logs"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// control serves a control host until it is interrupted; a leader transfers its
// leadership before it stops.
func (j *job) control(ctx context.Context) error {
	o := j.opt
	if len(o.Args) > 0 {
		return j.identify()
	}
	log, err := logs.New(j.errOut, logs.Config{
		Host:   o.Host,
		Domain: o.Domain,
		Level:  o.LogLevel,
	})
	if err != nil {
		return err
	}
	go j.logHangups(log)
	guard.SetMemoryLimit(o.Memory)
	bounds := guard.OperatorBounds(o.Memory, o.Descriptors, ctrl.MaxBodyBytes)
	bounds.Log = log
	cfg := ctrl.Config{
		Folder:       o.Data,
		Listen:       o.Listen,
		Address:      o.LinkListen,
		Link:         j.guardedLink(log, true),
		Guard:        guard.New(bounds),
		NewGroup:     o.NewGroup,
		PlatformList: o.PlatformList,
		Log:          log,
	}
	for _, p := range o.Bootstrap {
		cfg.Bootstrap = append(cfg.Bootstrap, quorum.Member{
			ID:      ident.HostID(p.Name),
			Address: p.Address,
			Voter:   true,
		})
	}
	h, err := ctrl.New(cfg)
	if err != nil {
		return err
	}
	fmt.Fprintf(j.out, "control host %s: member id %s, operators at %s, other hosts at %s\n", o.Host, h.ID(), h.Addr(), h.LinkAddr())
	return h.Run(ctx)
}

// identify prints the member id of a data folder, which it creates if needed.
// With these ids, the first members of a group can be listed before they start.
func (j *job) identify() error {
	id, err := ctrl.Identify(j.opt.Data)
	if err != nil {
		return err
	}
	fmt.Fprintln(j.out, id)
	return nil
}

// guardedLink returns linkConfig with bounds on what other hosts hold of this process.
func (j *job) guardedLink(log *slog.Logger, control bool) link.Config {
	bounds := guard.HostBounds(j.opt.Memory, j.opt.Descriptors, link.DefaultMaxMessage, control)
	bounds.Log = log
	cfg := j.linkConfig()
	cfg.Guard = guard.New(bounds)
	return cfg
}

func (j *job) linkConfig() link.Config {
	return link.Config{
		Keys: keys.Files{
			Cert: j.opt.Cert,
			Key:  j.opt.Key,
			CA:   j.opt.CA,
		},
		AllowPlain: j.opt.AllowPlaintext,
	}
}
