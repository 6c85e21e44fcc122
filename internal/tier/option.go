package tier

import (
	"flag"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/pkg/budget"
	"github.com/jujubethread/jujubethread/pkg/ident"
)

const usage = `tier runs the daemons of jujubethread on the platform.

  tier entry     serves callers and forwards their requests to upstreams
  tier control   keeps the configuration and reads the list of upstreams
  tier story ID  prints from log lines on standard input what happened to a
                 request on all hosts; "tier story FROM TO" prints what the
                 hosts believed between two times (RFC 3339)

Each flag of a daemon may also be a variable, JUJUBETHREAD_ and its name in
capitals, or a line "name value" of the file that -config names.

`

// Options are the settings of one daemon.
type Options struct {
	Name   ident.HostID
	Domain ident.Domain
	// IP is this host's address, LinkPort the port between hosts.
	IP       string
	LinkPort int
	// Bind is the address to listen on for other hosts, if it is not IP.
	Bind string

	Front    string
	Ready    string
	Operator string
	Folder   string
	// Seeds are operator addresses of control hosts.
	Seeds []string
	First bool
	// Lost is the number of disks that may be lost at once.
	Lost int
	// List is the address of the platform's list of upstreams.
	List string

	Extra    budget.Config
	Grace    time.Duration
	LogLevel string
	// Metrics is the address where metrics are served.
	Metrics string

	// File is the settings file, empty if there is none.
	File string
}

// Parse reads the arguments after the command, the environment and the
// settings file.
func Parse(command string, args []string, out io.Writer) (*Options, error) {
	o := &Options{}
	fs := flag.NewFlagSet("tier "+command, flag.ContinueOnError)
	fs.SetOutput(out)
	var name, domain, seeds, ports string
	fs.StringVar(&o.File, "config", "", "settings file")
	fs.StringVar(&name, "name", "", "name of this host")
	fs.StringVar(&domain, "domain", "", "failure domain of this host")
	fs.StringVar(&o.IP, "ip", "", "address of this host")
	fs.StringVar(&o.Bind, "bind", "", "address to listen on for other hosts, if they reach this one through another")
	fs.StringVar(&ports, "ports", "7380,7395", "first and last port between hosts")
	fs.StringVar(&o.Front, "front", "", "address for callers (entry)")
	fs.StringVar(&o.Ready, "ready", "", "address for readiness checks (entry)")
	fs.StringVar(&o.Operator, "operator", "", "address for operators (control)")
	fs.StringVar(&o.Folder, "folder", "", "data folder (control)")
	fs.StringVar(&seeds, "seeds", "", "operator addresses of some control hosts, with commas")
	fs.BoolVar(&o.First, "first", false, "the whole system starts for the first time (control)")
	fs.IntVar(&o.Lost, "lost", 1, "disks that may be lost at once (control)")
	fs.StringVar(&o.List, "list", "", "address of the platform's list of upstreams (control)")
	fs.Float64Var(&o.Extra.Ratio, "extra-ratio", 0.2, "extra calls to a service for each request (entry)")
	fs.Float64Var(&o.Extra.Slack, "extra-slack", 0, "extra calls to a service besides, over all hosts (entry)")
	fs.DurationVar(&o.Extra.Window, "extra-window", 10*time.Second, "window in which extra calls count (entry)")
	fs.DurationVar(&o.Grace, "grace", 6*time.Second, "time from SIGTERM to SIGKILL (entry)")
	fs.StringVar(&o.Metrics, "metrics", "", "address where metrics are served")
	fs.StringVar(&o.LogLevel, "log-level", "info", "debug, info, warn or error")
	err := ff.Parse(fs, args,
		ff.WithEnvVarPrefix("JUJUBETHREAD"),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(ff.PlainParser),
		ff.WithIgnoreUndefined(true))
	if err != nil {
		return nil, err
	}
	o.Name, o.Domain, o.Seeds = ident.HostID(name), ident.Domain(domain), split(seeds)
	first, _, _ := strings.Cut(ports, ",")
	if o.LinkPort, err = strconv.Atoi(strings.TrimSpace(first)); err != nil {
		return nil, errors.Errorf("ports %q are not two numbers with a comma: correct the setting", ports)
	}
	return o, o.check(command)
}

func split(list string) []string {
	var items []string
	for item := range strings.SplitSeq(list, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

func (o *Options) check(command string) error {
	need := map[string]string{
		"name":   string(o.Name),
		"domain": string(o.Domain),
		"ip":     o.IP,
	}
	if command == entry {
		need["front"], need["ready"] = o.Front, o.Ready
	} else {
		need["operator"], need["folder"], need["list"] = o.Operator, o.Folder, o.List
	}
	var faults []string
	for name, value := range need {
		if value == "" {
			faults = append(faults, name)
		}
	}
	if len(faults) > 0 {
		return errors.Errorf("settings are missing: set %s", strings.Join(faults, ", "))
	}
	return nil
}

// link returns the address of this host for other hosts.
func (o *Options) link() string { return net.JoinHostPort(o.IP, strconv.Itoa(o.LinkPort)) }

// bind is where this host listens for other hosts; empty means at link.
func (o *Options) bind() string {
	if o.Bind == "" {
		return ""
	}
	return net.JoinHostPort(o.Bind, strconv.Itoa(o.LinkPort))
}

// links returns the link addresses of the seeds, which differ from those for
// operators in the port only.
func (o *Options) links() []string {
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
