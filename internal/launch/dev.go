package launch

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/devel"
	"github.com/jujubethread/jujubethread/internal/option"
	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

const (
	devEntryListen   = "127.0.0.1:8400"
	devControlListen = "127.0.0.1:8500"

	demoTimeout    = 5 * time.Second
	demoAttempts   = 40
	demoRetryPause = 100 * time.Millisecond
)

// dev serves an example deployment until it is interrupted.
func (j *job) dev(ctx context.Context) error {
	cfg, cleanup, err := j.deployment()
	if err != nil {
		return err
	}
	defer cleanup()
	cfg.EntryListen, cfg.ControlListen = orDefault(j.opt.Listen, devEntryListen), devControlListen
	d, err := devel.Start(cfg)
	if err != nil {
		return err
	}
	j.printHints(d)
	stopped := make(chan error, 1)
	go func() { stopped <- d.Wait() }()
	select {
	case <-ctx.Done():
		return d.Stop()
	case err := <-stopped:
		return err
	}
}

// deployment returns the settings of an example deployment and a function
// that removes its temporary data folder.
func (j *job) deployment() (devel.Config, func(), error) {
	folder, cleanup := j.opt.Data, func() {}
	if folder == "" {
		temp, err := os.MkdirTemp("", "jujubethread-dev-")
		if err != nil {
			return devel.Config{}, nil, errors.Wrap(err, "temporary data folder cannot be made: name one with -data")
		}
		folder, cleanup = temp, func() { _ = os.RemoveAll(temp) }
	}
	return devel.Config{
		Shape:      j.opt.Shape,
		Entries:    j.opt.Entries,
		Controls:   j.opt.ControlHosts,
		Folder:     folder,
		Seed:       j.opt.Seed,
		TraceRatio: j.opt.TraceRatio,
		Grace:      j.opt.Grace,
		Log:        j.logger(),
	}, cleanup, nil
}

func (j *job) logger() *slog.Logger {
	var level slog.Level
	if err := level.UnmarshalText([]byte(j.opt.LogLevel)); err != nil {
		level = slog.LevelInfo
	}
	switch j.opt.Command {
	case option.Dev, option.Demo, option.Load, option.Bench:
		level = max(level, slog.LevelWarn) // all hosts log to the same terminal
	}
	return slog.New(slog.NewJSONHandler(j.errOut, &slog.HandlerOptions{Level: level}))
}

func (j *job) printHints(d *devel.Deployment) {
	entry, control := d.EntryAddress(), d.ControlAddress()
	all := strings.Join(d.ControlAddresses(), ",")
	index := d.Shape.Leaves[0].Upstream.Index
	up := d.Shape.Leaves[0].Upstream.ID
	fmt.Fprintf(j.out, `%s serves on loopback: %d entry hosts, %d control hosts, %d upstreams. Interrupt to stop.

A committee lookup over every service of %s:
  curl -s http://%s/v1/search -H 'Priority-Class: Critical' -d '{"Index":"%s","Terms":"warning letter","Limit":5}'

A preset switch:
  curl -s http://%s/v1/commands -d "{\"ID\":\"switch-1\",\"Expect\":$(curl -s http://%s/v1/config | grep -o '"Version":{[^}]*}' | head -1 | cut -d: -f2-),\"Change\":{\"SwitchPreset\":{\"Name\":\"peak\"}}}"

An upstream retirement:
  curl -s http://%s/v1/commands -d "{\"ID\":\"retire-1\",\"Expect\":$(curl -s http://%s/v1/config | grep -o '"Version":{[^}]*}' | head -1 | cut -d: -f2-),\"Change\":{\"RetireUpstream\":{\"ID\":\"%s\"}}}"

A filing, which runs at most once for its Request-Id:
  curl -s http://%s/v1/filings -H 'Request-Id: draft-1' -d '{"Index":"%s","Body":"draft text"}'

The same by the operator commands:
  ./bin/jujubethread preset switch ordinary -control %s
  ./bin/jujubethread status -control %s
`, d.Shape.Name, len(d.Entries), len(d.Controls), len(d.Leaves), index, entry, index,
		control, control, control, control, up, entry, index, all, all)
}

// demo starts an example deployment, runs one search over all shards and prints
// the answer.
func (j *job) demo(ctx context.Context) error {
	cfg, cleanup, err := j.deployment()
	if err != nil {
		return err
	}
	defer cleanup()
	cfg.Grace = time.Millisecond
	d, err := devel.Start(cfg)
	if err != nil {
		return err
	}
	answer, err := lookup(ctx, d)
	if stopErr := d.Stop(); err == nil {
		err = stopErr
	}
	if err != nil {
		return err
	}
	enc := json.NewEncoder(j.out)
	enc.SetIndent("", "  ")
	if err := enc.Encode(answer); err != nil {
		return err
	}
	if answer.Outcome != engine.Done {
		return &exitError{
			code: exitUnmet,
			text: "the lookup did not cover every shard: " + answer.Remedy,
		}
	}
	return nil
}

// lookup repeats the search while its outcome is NotRun: an entry host that has
// just started has no upstreams until it receives the configuration.
func lookup(ctx context.Context, d *devel.Deployment) (wire.SearchAnswer, error) {
	var answer wire.SearchAnswer
	for range demoAttempts {
		var err error
		answer, err = search(ctx, d.EntryAddress(), d.Shape.Leaves[0].Upstream.Index)
		if err != nil || answer.Outcome != engine.NotRun {
			return answer, err
		}
		time.Sleep(demoRetryPause)
	}
	return answer, nil
}

func search(ctx context.Context, address string, index ident.Index) (wire.SearchAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	body, err := json.Marshal(wire.SearchRequest{
		Index: index,
		Terms: "warning letter",
		Limit: 5,
		Class: "Critical",
	})
	if err != nil {
		return wire.SearchAnswer{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+wire.PathSearch, bytes.NewReader(body))
	if err != nil {
		return wire.SearchAnswer{}, err
	}
	req.Header.Set(wire.HeaderRequestID, "demo-1")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return wire.SearchAnswer{}, errors.Wrap(err, "lookup failed")
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(res.Body, wire.MaxMergedBytes))
	if err != nil {
		return wire.SearchAnswer{}, errors.Wrap(err, "answer cannot be read")
	}
	var answer wire.SearchAnswer
	return answer, errors.Wrap(json.Unmarshal(raw, &answer), "answer cannot be decoded")
}

func orDefault(v, def string) string {
	if v == "" {
		return def
	}
	return v
}
