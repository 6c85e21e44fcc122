package option

import (
	"errors"
	"flag"
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"github.com/jujubethread/jujubethread/internal/guard"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

// UsageError lists all invalid settings. Each fault names its remedy.
type UsageError struct {
	Command Command
	Faults  []string
}

// Error returns the number of faults and each fault on a line of its own.
func (e *UsageError) Error() string {
	return fmt.Sprintf("%d wrong setting(s):\n  %s", len(e.Faults), strings.Join(e.Faults, "\n  "))
}

func parseError(err error) error {
	if errors.Is(err, flag.ErrHelp) {
		return flag.ErrHelp
	}
	return &UsageError{Faults: []string{err.Error() + ": run jujubethread -h for the flags"}}
}

func isCommand(c Command) bool {
	switch c {
	case Entry, Control, Leaf, Status, Preset, Upstream, Member, Filing, Dev, Demo, Load, Bench, Replay, Trace, Proxy, Keys:
		return true
	default:
		return false
	}
}

// parseTexts converts the values of text flags to their types and returns the
// faults.
func (o *Options) parseTexts(t *textFlags) []string {
	var faults []string
	o.Host, o.Domain = ident.HostID(t.host), ident.Domain(t.domain)
	o.Index, o.Service = ident.Index(t.index), ident.Service(t.service)
	o.Controls, o.Peers = splitList(t.controls), splitList(t.peers)
	o.From = splitList(t.from)
	for _, s := range splitList(t.shards) {
		o.Shards = append(o.Shards, ident.Shard(s))
	}
	o.Bootstrap, faults = parsePairs("bootstrap", t.bootstrap, faults)
	o.Hosts, faults = parsePairs("hosts", t.hosts, faults)
	if t.expect != "" {
		v, err := parseVersion(t.expect)
		if err != nil {
			faults = append(faults, err.Error())
		}
		o.Expect = &v
	}
	if o.Advertise == "" {
		o.Advertise = o.LinkListen
	}
	return faults
}

func (o *Options) check() []string {
	f := &faults{}
	f.addresses("control", o.Controls)
	f.addresses("peers", o.Peers)
	f.require((o.Cert == "") == (o.Key == "") && (o.Cert == "" || o.CA != ""), "-ca, -cert and -key belong together: give all three or none")
	f.require(o.LogLevel == "debug" || o.LogLevel == "info" || o.LogLevel == "warn" || o.LogLevel == "error",
		"-log-level is "+strconv.Quote(o.LogLevel)+": use debug, info, warn or error")
	switch o.Command {
	case Entry:
		o.checkHost(f)
		f.require(len(o.Controls) > 0, "-control is empty: list the link addresses of the control hosts")
		f.require(o.TraceRatio >= 0 && o.TraceRatio <= 1, "-trace-ratio is out of range: use 0 to 1")
		f.require(o.Grace >= 0, "-grace is negative: use 0s or more")
	case Control:
		f.require(o.Data != "", "-data is empty: name the data folder")
		if len(o.Args) > 0 {
			f.require(len(o.Args) == 1 && o.Args[0] == "id", "control takes no argument but id: run jujubethread -h for its forms")
			return f.list
		}
		o.checkHost(f)
		f.require(len(o.Bootstrap) == 0 || !o.NewGroup, "-bootstrap and -new-group exclude each other: use -new-group for a group that starts with one member")
	case Leaf:
		o.checkLeaf(f)
	case Dev, Demo, Load, Bench:
		o.checkTools(f)
	case Proxy:
		f.address("listen", o.Listen)
		f.address("to", o.To)
	case Keys:
		f.require(o.Role == "control" || o.Role == "entry" || o.Role == "operator", "-role is "+strconv.Quote(o.Role)+": use control, entry or operator")
		f.require(o.Out != "", "-out is empty: name the folder for the certificates")
		f.require(len(o.Hosts) > 0, "-hosts is empty: list the hosts as ID=IP")
	case Replay:
		f.require(len(o.Args) > 0, "replay needs at least one FILE")
	case Status, Preset, Upstream, Member, Filing, Trace:
	}
	return f.list
}

func (o *Options) checkHost(f *faults) {
	f.require(o.Host != "", "-host is empty: name this host")
	f.require(o.Domain != "", "-domain is empty: name the failure domain of this host")
	f.address("listen", o.Listen)
	f.address("link-listen", o.LinkListen)
	f.require(o.Memory == 0 || o.Memory >= guard.MinMemory, "-memory is too small: use "+strconv.Itoa(guard.MinMemory)+" MB or more, or 0 for the default")
	f.require(o.Descriptors == 0 || o.Descriptors >= guard.MinDescriptors,
		"-descriptors is too small: use "+strconv.Itoa(guard.MinDescriptors)+" or more, or 0 for the default")
	f.require(o.Cert != "" || o.AllowPlaintext || (isLoopback(o.Listen) && isLoopback(o.LinkListen)),
		"addresses other than loopback need TLS: give -ca, -cert and -key, or -allow-plaintext")
}

func (o *Options) checkLeaf(f *faults) {
	f.require(o.Host != "", "-host is empty: name this upstream")
	f.address("listen", o.Listen)
	f.require(o.Index != "" && o.Service != "" && len(o.Shards) > 0, "-index, -service and -shards are required: name the index, service and shards of the upstream")
	f.require(o.Slots > 0, "-slots is below 1: use 1 or more")
	f.require(o.ConnLimit > 0, "-conn-limit is below 1: use 1 or more")
}

func (o *Options) checkTools(f *faults) {
	f.require(o.Shape == "thesiswell" || o.Shape == "hanbit", "-shape is "+strconv.Quote(o.Shape)+": use thesiswell or hanbit")
	f.require(o.Entries >= 1 && o.Entries <= maxEntries, fmt.Sprintf("-entries is %d: use 1 to %d", o.Entries, maxEntries))
	f.require(o.ControlHosts >= 1 && o.ControlHosts <= maxControlHosts, fmt.Sprintf("-controls is %d: use 1 to %d", o.ControlHosts, maxControlHosts))
	f.require(o.Rate > 0 && o.Rate <= maxRate, fmt.Sprintf("-rate is %v: use more than 0, at most %v", o.Rate, maxRate))
	f.require(o.Duration > 0, "-duration is not positive: use for example 10s")
}

// faults collects all invalid settings, so that they are reported together.
type faults struct{ list []string }

func (f *faults) require(ok bool, text string) {
	if !ok {
		f.list = append(f.list, text)
	}
}

func (f *faults) address(flagName, value string) {
	_, err := netip.ParseAddrPort(value)
	f.require(err == nil, fmt.Sprintf("-%s is %q: use IP:PORT, host names are not resolved", flagName, value))
}

func (f *faults) addresses(flagName string, values []string) {
	for _, v := range values {
		f.address(flagName, v)
	}
}

func isLoopback(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Addr().IsLoopback()
}

func splitList(list string) []string {
	var out []string
	for _, s := range strings.Split(list, ",") {
		if s = strings.TrimSpace(s); s != "" {
			out = append(out, s)
		}
	}
	return out
}

func parsePairs(flagName, list string, faults []string) ([]Pair, []string) {
	var out []Pair
	for _, s := range splitList(list) {
		name, address, ok := strings.Cut(s, "=")
		if !ok || name == "" || address == "" {
			faults = append(faults, fmt.Sprintf("-%s has %q: use NAME=ADDRESS", flagName, s))
			continue
		}
		out = append(out, Pair{
			Name:    name,
			Address: address,
		})
	}
	return out, faults
}

func parseVersion(text string) (ident.ConfigVersion, error) {
	var v ident.ConfigVersion
	if _, err := fmt.Sscanf(text, "%d.%d", &v.Epoch, &v.Number); err != nil {
		return v, fmt.Errorf("-expect is %q: use EPOCH.NUMBER as the status command prints it", text)
	}
	return v, nil
}
