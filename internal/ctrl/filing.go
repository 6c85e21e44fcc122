package ctrl

import (
	"context"
	"net/http"

	"github.com/jujubethread/jujubethread/internal/link"
	"github.com/jujubethread/jujubethread/internal/proto"
	"github.com/jujubethread/jujubethread/internal/state"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/ledger"
)

// SubmitFiling runs a ledger command through the leader, which sets its time.
// The Kind of the answer is FilingApplied, FilingNotRun if the command never
// takes effect, or FilingUnknown if it may.
func (h *Host) SubmitFiling(ctx context.Context, c ledger.Command) proto.FilingAnswer {
	cmd, err := state.FilingCommand(c)
	if err != nil {
		return proto.FilingAnswer{
			Kind:   proto.FilingNotRun,
			Remedy: err.Error(),
		}
	}
	a := h.Submit(ctx, Request{Command: &cmd})
	out := proto.FilingAnswer{
		Kind:   proto.FilingUnknown,
		Remedy: a.Remedy,
	}
	switch a.Kind {
	case config.NotRun, config.Conflict:
		out.Kind = proto.FilingNotRun
	case config.Unknown:
	case config.Accepted:
		if err := proto.Unmarshal(a.Data, &out.Result); err != nil {
			out.Remedy = err.Error()
			return out
		}
		out.Kind = proto.FilingApplied
	}
	return out
}

// Unresolved lists the oldest filings whose outcome is unknown, as this
// member knows them.
func (h *Host) Unresolved(ctx context.Context) ([]ledger.UnknownFiling, error) {
	var list []ledger.UnknownFiling
	err := h.runOnOwner(ctx, func(o *owner) { list = o.parts.Ledger().Unresolved(maxUnresolvedFilings) })
	return list, err
}

// serveFilings registers the methods by which entry hosts reserve, complete and
// release filings.
func (h *Host) serveFilings(s *link.Server) {
	link.Handle(s, proto.MethodReserve, func(ctx context.Context, in *proto.Reserve) (*proto.FilingAnswer, error) {
		if err := checkCertificateHost(ctx, in.Host); err != nil {
			return nil, err
		}
		a := h.SubmitFiling(ctx, ledger.Reserve{
			Request:  in.Request,
			BodyHash: in.BodyHash,
			Host:     in.Host,
			Attempt:  in.Attempt,
		})
		return &a, nil
	})
	link.Handle(s, proto.MethodComplete, func(ctx context.Context, in *proto.Complete) (*proto.FilingAnswer, error) {
		a := h.SubmitFiling(ctx, ledger.Complete{
			Request: in.Request,
			Fence:   in.Fence,
			Receipt: in.Receipt,
		})
		return &a, nil
	})
	link.Handle(s, proto.MethodRelease, func(ctx context.Context, in *proto.Release) (*proto.FilingAnswer, error) {
		a := h.SubmitFiling(ctx, ledger.Release{
			Request: in.Request,
			Fence:   in.Fence,
		})
		return &a, nil
	})
}

// ResolveFiling is an operator's decision about a filing that is Unknown.
type ResolveFiling struct {
	Request ident.RequestID `json:"Request"`
	// Status is Done or NotRun.
	Status  ledger.Status `json:"Status"`
	Receipt string        `json:"Receipt,omitempty"`
}

func (h *Host) serveUnresolved(w http.ResponseWriter, r *http.Request) {
	list, err := h.Unresolved(r.Context())
	if err != nil {
		writeRefusal(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, struct {
		Filings []ledger.UnknownFiling `json:"Filings"`
	}{Filings: append([]ledger.UnknownFiling{}, list...)})
}

func (h *Host) serveResolve(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	var in ResolveFiling
	if err := parseStrict(body, &in); err != nil {
		writeRefusal(w, http.StatusBadRequest, "request cannot be decoded: send Request, Status and Receipt: "+err.Error())
		return
	}
	a := h.SubmitFiling(r.Context(), ledger.Resolve{
		Request: in.Request,
		Status:  in.Status,
		Receipt: in.Receipt,
	})
	status := http.StatusOK
	switch {
	case a.Kind == proto.FilingNotRun:
		status = http.StatusServiceUnavailable
	case a.Kind == proto.FilingUnknown:
		status = http.StatusGatewayTimeout
	case a.Result.Kind != ledger.Applied:
		status = http.StatusConflict
	}
	writeJSON(w, status, a)
}
