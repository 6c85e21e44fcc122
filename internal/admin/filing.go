package admin

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/ctrl"
	"github.com/jujubethread/jujubethread/internal/proto"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ledger"
)

// Unresolved returns the filings whose outcome is Unknown, as the first control
// host that answers lists them.
func (c *Client) Unresolved(ctx context.Context) ([]ledger.UnknownFiling, error) {
	var last error
	for _, address := range c.cfg.Controls {
		var list struct {
			Filings []ledger.UnknownFiling `json:"Filings"`
		}
		if last = c.getJSON(ctx, address, ctrl.PathFilings, &list); last == nil {
			return list.Filings, nil
		}
	}
	return nil, c.unreachable(last)
}

// Resolve records an operator's decision on a filing whose outcome is Unknown. It
// is idempotent; a different decision on a resolved filing is a Conflict.
func (c *Client) Resolve(ctx context.Context, r ctrl.ResolveFiling) (config.Outcome, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return config.Outcome{}, errors.Wrap(err, "decision cannot be encoded: report this as a bug")
	}
	return c.post(ctx, ctrl.PathFilings, body, func(raw []byte) (config.Outcome, error) {
		var a proto.FilingAnswer
		if err := unmarshal(raw, &a); err != nil {
			return config.Outcome{}, err
		}
		return resolveOutcome(a), nil
	})
}

func resolveOutcome(a proto.FilingAnswer) config.Outcome {
	switch {
	case a.Kind == proto.FilingApplied && a.Result.Kind == ledger.Applied:
		return config.Outcome{Kind: config.Accepted}
	case a.Kind == proto.FilingApplied:
		return config.Outcome{
			Kind:   config.Conflict,
			Remedy: a.Result.Remedy,
		}
	case a.Kind == proto.FilingUnknown:
		return config.Outcome{
			Kind:   config.Unknown,
			Remedy: "the answer was lost: send the same decision again",
		}
	default:
		return config.Outcome{
			Kind:   config.NotRun,
			Remedy: a.Remedy,
		}
	}
}
