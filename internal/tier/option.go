package tier

import (
	"flag"
	"io"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/peterbourgon/ff/v3"
	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/guard"
	"github.com/jujubethread/jujubethread/pkg/allot"
	"github.com/jujubethread/jujubethread/pkg/budget"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

const usage = `tier runs the daemons of jujubethread on the platform.

  tier entry     serves callers and forwards their requests to upstreams
  tier control   keeps the configuration and reads the list of upstreams
  tier story ID  reads logs from standard input and prints the lines of one
                 request from all hosts; "tier story FROM TO" prints the
                 state changes of all hosts between two times (RFC 3339)
  tier explain -at IP:port URL
                 asks an entry host where a request would go now and why,
                 without sending it

Each flag of a daemon can also be set by an environment variable, JUJUBETHREAD_
and the name in capitals, or by a line "name value" in the file that -config
names.

`

// Options are the settings of one daemon.
type Options struct {
	Name   ident.HostID
	Domain ident.Domain
	// IP and LinkPort are the address of this host for other hosts.
	IP       string
	LinkPort int
	// Bind is the IP address to listen on for other hosts; empty means IP.
	Bind string

	// Front is the address for callers, Ready that for readiness checks and
	// Operator that for operators.
	Front    string
	Ready    string
	Operator string
	// Folder is the data folder.
	Folder string
	// Seeds are operator addresses of control hosts.
	Seeds []string
	// First is set on the first start of the whole system.
	First bool
	// MaxDiskFailures is the number of disks that may fail at once.
	MaxDiskFailures int
	// ListAddress is the address of the platform's list of upstreams.
	ListAddress string

	// Extra is the budget of retries and hedges of an entry host.
	Extra budget.Config
	// Quota is what the limits of accounts over all entry hosts have in common, Domains
	// all failure domains. Accounts are limited if both are set.
	Quota   allot.Config
	Domains []ident.Domain
	// Grace is the time between SIGTERM and SIGKILL.
	Grace    time.Duration
	LogLevel string
	// Memory is the memory of this host in MB, and Descriptors the number of its
	// descriptors; 0 means that they are not known.
	Memory      int
	Descriptors int
	// Metrics is the address where metrics are served; empty means none.
	Metrics string

	// SettingsFile is empty if there is none.
	SettingsFile string
}

// Parse reads the arguments after the command, the environment and the
// settings file.
func Parse(command string, args []string, out io.Writer) (*Options, error) {
	o := &Options{}
	fs := flag.NewFlagSet("tier "+command, flag.ContinueOnError)
	fs.SetOutput(out)
	var name, domain, seeds, ports, domains string
	fs.StringVar(&o.SettingsFile, "config", "", "settings file")
	fs.StringVar(&name, "name", "", "name of this host")
	fs.StringVar(&domain, "domain", "", "failure domain of this host")
	fs.StringVar(&o.IP, "ip", "", "address of this host")
	fs.StringVar(&o.Bind, "bind", "", "address to listen on for other hosts, if it differs from -ip")
	fs.StringVar(&ports, "ports", "7380,7395", "first and last port between hosts")
	fs.StringVar(&o.Front, "front", "", "address for callers (entry)")
	fs.StringVar(&o.Ready, "ready", "", "address for readiness checks (entry)")
	fs.StringVar(&o.Operator, "operator", "", "address for operators (control)")
	fs.StringVar(&o.Folder, "folder", "", "data folder (control)")
	fs.StringVar(&seeds, "seeds", "", "operator addresses of control hosts, separated by commas")
	fs.BoolVar(&o.First, "first", false, "set on the first start of the whole system (control)")
	fs.IntVar(&o.MaxDiskFailures, "lost", 1, "disks that may fail at once (control)")
	fs.StringVar(&o.ListAddress, "list", "", "address of the platform's list of upstreams (control)")
	fs.Float64Var(&o.Extra.Ratio, "extra-ratio", 0.2, "retries and hedges allowed per request to a service (entry)")
	fs.Float64Var(&o.Extra.Slack, "extra-slack", 0, "retries and hedges allowed per window regardless of requests, over all hosts (entry)")
	fs.DurationVar(&o.Extra.Window, "extra-window", 10*time.Second, "window over which retries and hedges are counted (entry)")
	fs.DurationVar(&o.Quota.Window, "quota-window", 0, "window over which limits of accounts hold; 0s for no limits (entry)")
	fs.Float64Var(&o.Quota.Overage, "quota-overage", 0, "fraction by which all entry hosts together may exceed the limit of an account (entry)")
	fs.Float64Var(&o.Quota.Slack, "quota-slack", 0, "requests per window by which they may exceed it as well (entry)")
	fs.StringVar(&domains, "domains", "", "all failure domains, separated by commas; without them there are no limits of accounts (entry)")
	fs.DurationVar(&o.Grace, "grace", 6*time.Second, "time from SIGTERM to SIGKILL (entry)")
	fs.StringVar(&o.Metrics, "metrics", "", "address where metrics are served")
	fs.Var((*optionalCount)(&o.Memory), "memory", "memory of this host in MB; without it callers may hold 512 MB")
	fs.Var((*optionalCount)(&o.Descriptors), "descriptors", "file descriptors of this host; default is the limit of the process")
	fs.StringVar(&o.LogLevel, "log-level", "info", "debug, info, warn or error")
	err := ff.Parse(fs, args,
		ff.WithEnvVarPrefix("JUJUBETHREAD"),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(ff.PlainParser),
		ff.WithIgnoreUndefined(true))
	if err != nil {
		return nil, err
	}
	o.Name, o.Domain, o.Seeds = ident.HostID(name), ident.Domain(domain), splitList(seeds)
	o.setDomains(splitList(domains))
	firstPort, _, _ := strings.Cut(ports, ",")
	port, err := strconv.ParseUint(strings.TrimSpace(firstPort), 10, 16)
	if err != nil || port == 0 {
		return nil, errors.Errorf("invalid ports %q: set two numbers from 1 to 65535, separated by a comma", ports)
	}
	o.LinkPort = int(port)
	return o, o.validate(command)
}

// setDomains sets the failure domains. This host's own is always one of them.
func (o *Options) setDomains(names []string) {
	for _, name := range names {
		o.Domains = append(o.Domains, ident.Domain(name))
	}
	if len(o.Domains) > 0 {
		o.Domains = append(o.Domains, o.Domain)
	}
	slices.Sort(o.Domains)
	o.Domains = slices.Compact(o.Domains)
	o.Quota.Domains = len(o.Domains)
}

// optionalCount is a number that a deployment may leave out: its template then has no
// value, or keeps the placeholder.
type optionalCount int

// String implements flag.Value.
func (c *optionalCount) String() string { return strconv.Itoa(int(*c)) }

// Set implements flag.Value.
func (c *optionalCount) Set(text string) error {
	*c = 0
	if text = strings.TrimSpace(text); text == "" || strings.HasPrefix(text, "{{") {
		return nil
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || value < 0 || value > math.MaxInt32 || value != value {
		return errors.Errorf("invalid number %q: use one from 0 to %d", text, math.MaxInt32)
	}
	*c = optionalCount(value)
	return nil
}

func splitList(list string) []string {
	var items []string
	for item := range strings.SplitSeq(list, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

func (o *Options) validate(command string) error {
	required := map[string]string{
		"name":   string(o.Name),
		"domain": string(o.Domain),
		"ip":     o.IP,
	}
	if command == entryCommand {
		required["front"], required["ready"] = o.Front, o.Ready
	} else {
		required["operator"], required["folder"], required["list"] = o.Operator, o.Folder, o.ListAddress
	}
	var missing []string
	for name, value := range required {
		if value == "" {
			missing = append(missing, name)
		}
	}
	if len(missing) > 0 {
		slices.Sort(missing)
		return errors.Errorf("required settings are missing: set %s", strings.Join(missing, ", "))
	}
	return o.validateValues()
}

// validateValues refuses values that would end the process later: at its first request,
// or when it first writes them.
func (o *Options) validateValues() error {
	for _, text := range []string{string(o.Name), string(o.Domain)} {
		if !utf8.ValidString(text) || strings.ContainsFunc(text, unicode.IsControl) {
			return errors.Errorf("invalid name or domain %q: use text without control characters", text)
		}
	}
	switch {
	case o.Grace < 0:
		return errors.Errorf("grace is %s: use 0s or more", o.Grace)
	case o.Memory > 0 && o.Memory < guard.MinMemory:
		return errors.Errorf("memory is %d: use %d MB or more, or 0 for the default", o.Memory, guard.MinMemory)
	case o.Descriptors > 0 && o.Descriptors < guard.MinDescriptors:
		return errors.Errorf("descriptors is %d: use %d or more, or 0 for the default", o.Descriptors, guard.MinDescriptors)
	case o.MaxDiskFailures < 0:
		return errors.Errorf("lost is %d: use 0 or more", o.MaxDiskFailures)
	}
	if err := o.Quota.Check(); err != nil {
		return err
	}
	return errors.Wrap(o.Extra.Check(), "budget of retries and hedges")
}

// linkAddress returns the address of this host for other hosts.
func (o *Options) linkAddress() string { return net.JoinHostPort(o.IP, strconv.Itoa(o.LinkPort)) }

// bindAddress returns the address to listen on for other hosts; empty means
// linkAddress.
func (o *Options) bindAddress() string {
	if o.Bind == "" {
		return ""
	}
	return net.JoinHostPort(o.Bind, strconv.Itoa(o.LinkPort))
}

// seedLinks returns the link addresses of the seeds, which differ from their
// operator addresses in the port only. Seeds without a port are left out.
func (o *Options) seedLinks() []string {
	var list []string
	for _, s := range o.Seeds {
		host, _, err := net.SplitHostPort(s)
		if err != nil {
			continue
		}
		list = append(list, net.JoinHostPort(host, strconv.Itoa(o.LinkPort)))
	}
	return list
}
