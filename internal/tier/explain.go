package tier

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/front"
	"github.com/jujubethread/jujubethread/internal/link"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/relay"
)

// explainTimeout bounds the question to a host.
const explainTimeout = 5 * time.Second

// explain asks a running entry host where a request would go now, and prints the
// answer.
func explain(args []string, out, errOut io.Writer) int {
	fs := flag.NewFlagSet("tier explain", flag.ContinueOnError)
	fs.SetOutput(errOut)
	address := fs.String("at", "", "address of an entry host for other hosts, IP:port")
	account := fs.String("account", "", "account of the caller")
	id := fs.String("id", "", "id of the request, which decides the gatherer of a search")
	asJSON := fs.Bool("json", false, "print JSON")
	all := fs.Bool("all", false, "print all shards, not only those with an obstacle (text)")
	err := fs.Parse(args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exitOK
	case err != nil:
		return exitUsage
	case *address == "" || fs.NArg() != 1:
		fmt.Fprintln(errOut, "tier: explain needs -at IP:port and one URL, http://HOST/PATH")
		return exitUsage
	}
	reply, err := askExplain(*address, fs.Arg(0), ident.RequestID(*id), ident.Account(*account))
	switch {
	case err != nil:
	case *asJSON:
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		err = enc.Encode(reply)
	default:
		err = printExplanation(out, reply, *all)
	}
	if err != nil {
		fmt.Fprintln(errOut, "tier:", err)
		return exitFailed
	}
	return exitOK
}

func askExplain(address, rawURL string, id ident.RequestID, account ident.Account) (*front.ExplainReply, error) {
	u, err := url.Parse(rawURL)
	if err != nil || u.Host == "" {
		return nil, errors.Errorf("invalid URL %q: write it as http://HOST/PATH", rawURL)
	}
	client, err := link.NewClient(link.Config{
		AllowPlain: true,
		Log:        slog.New(slog.DiscardHandler),
	})
	if err != nil {
		return nil, err
	}
	defer func() { _ = client.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), explainTimeout)
	defer cancel()
	in := front.ExplainRequest{
		Host:    u.Host,
		Path:    u.EscapedPath(),
		ID:      id,
		Account: account,
	}
	var reply front.ExplainReply
	if err := client.Call(ctx, address, front.MethodExplain, &in, &reply); err != nil {
		return nil, errors.Wrapf(err, "the host at %s does not answer: give an entry host's address for other hosts", address)
	}
	return &reply, nil
}

func printExplanation(out io.Writer, x *front.ExplainReply, all bool) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	line := func(name, value string) {
		if value != "" {
			fmt.Fprintf(w, "%s\t%s\n", name, value)
		}
	}
	line("host", string(x.HostName))
	line("not ready", x.Unready)
	line("configuration", fmt.Sprint(x.Version))
	line("route", x.Route)
	line("priority", fmt.Sprint(x.Priority))
	if x.Rate > 0 {
		line("limit", fmt.Sprintf("%g requests a second over all hosts, burst %g", x.Rate, x.Burst))
	}
	line("no access", x.Access)
	line("gatherer", string(x.Gatherer))
	line("refused", x.Refusal)
	for _, p := range x.Parts {
		if all || len(x.Parts) == 1 || p.Share < 1 || p.Upstream == "" || p.Upstreams[0].Obstacle != "" {
			printPart(w, p)
		}
	}
	if n := len(x.Parts); n > 1 && !all {
		line("shards", fmt.Sprintf("%d in all; -all prints each", n))
	}
	return w.Flush()
}

func printPart(w io.Writer, p relay.PartExplanation) {
	to := string(p.Upstream)
	if to == "" {
		to = "no upstream"
	}
	fmt.Fprintf(w, "service %s\t%s\tshare %.2f\n", p.Service, to, p.Share)
	for _, u := range p.Upstreams {
		var notes []string
		if u.Obstacle != "" {
			notes = append(notes, u.Obstacle)
		}
		if u.Paced {
			notes = append(notes, "its slow start leaves no room")
		}
		if u.Limit > 0 {
			notes = append(notes, fmt.Sprintf("limited to %g calls/s", u.Limit))
		}
		fmt.Fprintf(w, "  %s\t%s\tcost %.1f ms, queue %d, in flight %d, slow x%.2f, effort x%.2f, failing %.2f\t%s\n",
			u.Upstream, u.Domain, float64(u.CostMicros)/1000, u.Queue, u.InFlight, u.Slow, u.Effort, u.FailRate, strings.Join(notes, "; "))
	}
}
