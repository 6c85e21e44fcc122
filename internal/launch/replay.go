package launch

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/replay"
	"github.com/jujubethread/jujubethread/internal/span"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

const (
	pathTraces   = "/v1/traces"
	maxSpanBytes = 64 << 20
)

// replay runs recorded events through their reducers and compares the effects
// with the recorded ones.
func (j *job) replay(context.Context) error {
	differing := 0
	for _, name := range j.opt.Args {
		f, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "record cannot be read")
		}
		rep, err := replay.Run(f)
		f.Close()
		if err != nil {
			return errors.Wrapf(err, "record %s", name)
		}
		if j.opt.JSON {
			if err := json.NewEncoder(j.out).Encode(rep); err != nil {
				return err
			}
		}
		if rep.Difference != nil {
			differing++
			fmt.Fprintf(j.errOut, "%s: %s\n", name, rep.Difference)
			continue
		}
		if !j.opt.JSON {
			fmt.Fprintf(j.out, "%s: %s, %d events, %d effects, %d outcomes, no difference\n", name, rep.Reducer, rep.Events, rep.Effects, rep.Outcomes)
		}
	}
	if differing > 0 {
		return &exitError{
			code: exitUnmet,
			text: fmt.Sprintf("%d of %d records differ", differing, len(j.opt.Args)),
		}
	}
	return nil
}

// trace prints the spans of one request, or all spans of the -from sources if no
// request is given.
func (j *job) trace(ctx context.Context) error {
	if len(j.opt.Args) > 1 {
		return j.argsError()
	}
	var spans []span.Record
	for _, from := range j.opt.From {
		part, err := readSpans(ctx, from)
		if err != nil {
			return err
		}
		spans = append(spans, part...)
	}
	if len(j.opt.Args) == 1 {
		spans = span.OfRequest(spans, ident.RequestID(j.opt.Args[0]))
		if len(spans) == 0 {
			return errors.Errorf("no span of request %q was found: it may not have been sampled, see -trace-ratio", j.opt.Args[0])
		}
	}
	return span.Print(j.out, spans)
}

// readSpans reads a span file, or fetches the recent spans from an entry host if
// the source is a URL.
func readSpans(ctx context.Context, from string) ([]span.Record, error) {
	if !strings.HasPrefix(from, "http://") && !strings.HasPrefix(from, "https://") {
		f, err := os.Open(from)
		if err != nil {
			return nil, errors.Wrap(err, "span file cannot be read")
		}
		defer f.Close()
		return span.Read(f)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, from+pathTraces, nil)
	if err != nil {
		return nil, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "spans cannot be requested from the entry host: check -from")
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxSpanBytes))
	if err != nil {
		return nil, errors.Wrap(err, "spans cannot be read")
	}
	var list struct {
		Spans []span.Record `json:"Spans"`
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	return list.Spans, errors.Wrap(dec.Decode(&list), "spans cannot be decoded: is -from the address of an entry host?")
}
