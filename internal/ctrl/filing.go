package ctrl

import (
	"context"
	"net/http"
	"strconv"

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
	fence, err := strconv.ParseUint(r.URL.Query().Get(AfterParameter), 10, 64)
	if err != nil || fence == 0 {
		h.redirectAfterReservation(w, r, in.Request)
		return
	}
	a := h.SubmitFiling(r.Context(), ledger.Resolve{
		Request: in.Request,
		Status:  in.Status,
		Receipt: in.Receipt,
		Fence:   fence,
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

// redirectAfterReservation redirects a decision to itself with the fence of the last
// reservation of the filing.
func (h *Host) redirectAfterReservation(w http.ResponseWriter, r *http.Request, id ident.RequestID) {
	var f ledger.Filing
	var known bool
	if err := h.runOnOwner(r.Context(), func(o *owner) { f, known = o.parts.Ledger().Find(id) }); err != nil {
		writeRefusal(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	if !known {
		writeJSON(w, http.StatusConflict, proto.FilingAnswer{
			Kind: proto.FilingApplied,
			Result: ledger.Result{
				Kind:   ledger.Refused,
				Remedy: "the request id is not known: list the Unknown filings",
			},
		})
		return
	}
	redirectAfter(w, r, strconv.FormatUint(f.Fence, 10))
}
