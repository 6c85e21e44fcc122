// Package admin is the client of a control host's HTTP API for operators. It
// sends commands with an ID and an expected version, and tries the other control
// hosts if one is unreachable.
package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/jujubethread/jujubethread/internal/ctrl"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Config holds the settings of a Client.
type Config struct {
	// Controls lists the HTTP addresses of control hosts, IP:port.
	Controls []string
	// Timeout bounds one command, including attempts at all control hosts.
	Timeout time.Duration
	// HTTP may carry TLS settings; nil means plain HTTP.
	HTTP *http.Client
	// Scheme is http or https; empty means http.
	Scheme string
}

// Client sends requests to the control hosts of one deployment.
type Client struct{ cfg Config }

// NewClient returns a client. It opens no connections.
func NewClient(cfg Config) *Client {
	if cfg.HTTP == nil {
		cfg.HTTP = http.DefaultClient
	}
	if cfg.Scheme == "" {
		cfg.Scheme = "http"
	}
	return &Client{cfg: cfg}
}

// UnreachableError reports that no control host answered.
type UnreachableError struct {
	Controls []string
	// Last is the error of the last control host.
	Last error
}

// Error names the control hosts, the remedy and the last error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no control host of %v answered: check -control and that one of them runs; last error: %v", e.Controls, e.Last)
}

// Unwrap returns the error of the last control host.
func (e *UnreachableError) Unwrap() error { return e.Last }

// Config returns the newest configuration among those of the reachable control
// hosts.
func (c *Client) Config(ctx context.Context) (*config.State, error) {
	var newest *config.State
	var last error
	for _, address := range c.cfg.Controls {
		s := new(config.State)
		if err := c.getJSON(ctx, address, ctrl.PathConfig, s); err != nil {
			last = err
			continue
		}
		if newest == nil || newest.Version.Less(s.Version) {
			newest = s
		}
	}
	if newest == nil {
		return nil, c.unreachable(last)
	}
	return newest, nil
}

// HostStatus is the status of one control host, or the error of the request.
type HostStatus struct {
	Address string       `json:"Address"`
	Status  *ctrl.Status `json:"Status,omitempty"`
	Error   string       `json:"Error,omitempty"`
}

// Status requests the status of all control hosts concurrently, so that
// unresponsive ones delay it by no more than one read timeout.
func (c *Client) Status(ctx context.Context) []HostStatus {
	list := make([]HostStatus, len(c.cfg.Controls))
	var group errgroup.Group
	for i, address := range c.cfg.Controls {
		group.Go(func() error {
			st := new(ctrl.Status)
			list[i] = HostStatus{Address: address}
			if err := c.getJSON(ctx, address, ctrl.PathStatus, st); err != nil {
				list[i].Error = err.Error()
			} else {
				list[i].Status = st
			}
			return nil
		})
	}
	_ = group.Wait()
	return list
}

// Run sends a change as a command. An empty id is replaced by a new one, a nil
// expect by the current version. The command is returned for a resend.
func (c *Client) Run(ctx context.Context, id ident.CommandID, expect *ident.ConfigVersion, change config.Change) (config.Command, config.Outcome, error) {
	cmd := config.Command{
		ID:     id,
		Change: change,
	}
	if cmd.ID == "" {
		cmd.ID = ident.CommandID(uuid.NewString())
	}
	if expect == nil {
		s, err := c.Config(ctx)
		if err != nil {
			return cmd, config.Outcome{}, err
		}
		expect = &s.Version
	}
	cmd.Expect = *expect
	body, err := ctrl.FormatCommand(cmd)
	if err != nil {
		return cmd, config.Outcome{}, errors.Wrap(err, "command cannot be encoded: report this as a bug")
	}
	out, err := c.post(ctx, ctrl.PathCommands, body, parseOutcome)
	return cmd, out, err
}

// Members sends a membership change of the control group.
func (c *Client) Members(ctx context.Context, m ctrl.MembersRequest) (config.Outcome, error) {
	body, err := json.Marshal(m)
	if err != nil {
		return config.Outcome{}, errors.Wrap(err, "membership change cannot be encoded: report this as a bug")
	}
	return c.post(ctx, ctrl.PathMembers, body, parseOutcome)
}

// post tries the control hosts in turn until one returns a final outcome. If a
// request was sent but not answered, the outcome is Unknown unless a later host
// returns a final one; commands are idempotent, so sending the same ID again is
// safe. Each host gets an equal part of the remaining time, so that a frozen
// host does not use it up.
func (c *Client) post(ctx context.Context, path string, body []byte, parse parser) (config.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	var last error
	var notRun, unknown *config.Outcome
	deadline, _ := ctx.Deadline()
	for i, address := range c.cfg.Controls {
		timeout := time.Until(deadline) / time.Duration(len(c.cfg.Controls)-i)
		out, err := c.postTo(ctx, timeout, address, path, body, parse)
		switch {
		case err != nil && notSent(err):
			last = err
		case err != nil:
			unknown = &config.Outcome{
				Kind:   config.Unknown,
				Remedy: "an answer was lost: resend the same id",
			}
		case out.Kind == config.NotRun:
			notRun = &out
		case out.Kind == config.Unknown:
			unknown = &out
		default:
			return out, nil
		}
	}
	switch {
	case unknown != nil:
		return *unknown, nil
	case notRun != nil:
		return *notRun, nil
	default:
		return config.Outcome{}, c.unreachable(last)
	}
}

func (c *Client) postTo(ctx context.Context, timeout time.Duration, address, path string, body []byte, parse parser) (config.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(address, path), bytes.NewReader(body))
	if err != nil {
		return config.Outcome{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := c.cfg.HTTP.Do(req)
	if err != nil {
		return config.Outcome{}, err
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return config.Outcome{}, errors.Wrap(err, "answer cannot be read: check the connection to the control host")
	}
	return parse(raw)
}

// parser decodes the body of an answer into an outcome.
type parser func(raw []byte) (config.Outcome, error)

func parseOutcome(raw []byte) (config.Outcome, error) {
	var out config.Outcome
	return out, unmarshal(raw, &out)
}

func (c *Client) getJSON(ctx context.Context, address, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, min(c.cfg.Timeout, readTimeout))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(address, path), nil)
	if err != nil {
		return err
	}
	res, err := c.cfg.HTTP.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		var out config.Outcome
		if err := readJSON(res.Body, &out); err != nil {
			return errors.Errorf("control host %s answered with status %d", address, res.StatusCode)
		}
		return errors.Errorf("control host %s: %s", address, out.Remedy)
	}
	return readJSON(res.Body, into)
}

func (c *Client) url(address, path string) string { return c.cfg.Scheme + "://" + address + path }

func (c *Client) unreachable(last error) error {
	return &UnreachableError{
		Controls: c.cfg.Controls,
		Last:     last,
	}
}

func readJSON(r io.Reader, into any) error {
	b, err := io.ReadAll(io.LimitReader(r, maxAnswerBytes))
	if err != nil {
		return errors.Wrap(err, "answer cannot be read: check the connection to the control host")
	}
	return unmarshal(b, into)
}

func unmarshal(raw []byte, into any) error {
	return errors.Wrap(json.Unmarshal(raw, into), "answer cannot be decoded: check that the address is that of a control host")
}
