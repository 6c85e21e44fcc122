// Package option parses the command line: the usage text, the flags with their
// environment variables, and the checks that report all invalid settings with
// their remedies before the program opens a port.
package option

import (
	"flag"
	"io"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Command is the name of a subcommand.
type Command string

// The subcommands.
const (
	Entry    Command = "entry"
	Control  Command = "control"
	Leaf     Command = "leaf"
	Status   Command = "status"
	Preset   Command = "preset"
	Upstream Command = "upstream"
	Member   Command = "member"
	Filing   Command = "filing"
	Dev      Command = "dev"
	Demo     Command = "demo"
	Load     Command = "load"
	Bench    Command = "bench"
	Replay   Command = "replay"
	Trace    Command = "trace"
	Proxy    Command = "proxy"
	Keys     Command = "keys"
)

// Options are the settings of one run. Fields of flags that the command does not
// use have their defaults.
type Options struct {
	Command Command
	// Args are the arguments after the command that are not flags.
	Args []string

	Host       ident.HostID
	Domain     ident.Domain
	Listen     string
	LinkListen string
	Advertise  string
	LogLevel   string
	// Memory is the memory of this host in MB, and Descriptors the number of its
	// descriptors; 0 means the defaults of package guard.
	Memory      int
	Descriptors int

	Controls   []string
	Peers      []string
	Grace      time.Duration
	TraceFile  string
	TraceRatio float64
	RecordFile string

	Data     string
	NewGroup bool
	// PlatformList is a file with the entry hosts that the platform lists as
	// live.
	PlatformList string
	Bootstrap    []Pair

	ID      string
	Expect  *ident.ConfigVersion
	Timeout time.Duration
	JSON    bool

	Index       ident.Index
	Service     ident.Service
	Shards      []ident.Shard
	Slots       int
	ConnLimit   int
	ConnCost    time.Duration
	ServiceTime time.Duration
	Seed        uint64

	Shape        string
	Entries      int
	ControlHosts int
	Scenario     string
	Rate         float64
	Duration     time.Duration
	Report       string

	From        []string
	To          string
	FaultListen string
	Out         string
	Hosts       []Pair
	Role        string

	CA             string
	Cert           string
	Key            string
	AllowPlaintext bool
}

// Pair is one NAME=ADDRESS element of a list flag.
type Pair struct {
	Name    string
	Address string
}

// Parse parses the arguments after the program name and the environment
// variables. It returns flag.ErrHelp if help is requested, and a *UsageError
// with all faults if a setting is invalid.
func Parse(args []string) (*Options, error) {
	if len(args) == 0 || isHelp(args[0]) {
		return nil, flag.ErrHelp
	}
	o := &Options{Command: Command(args[0])}
	if !isCommand(o.Command) {
		return nil, &UsageError{Faults: []string{"command " + args[0] + " does not exist: run jujubethread -h for the list"}}
	}
	positional, flags := splitArgs(args[1:])
	texts := &textFlags{}
	fs := flag.NewFlagSet(args[0], flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	o.register(fs, texts)
	if err := ff.Parse(fs, flags, ff.WithEnvVarPrefix(envPrefix)); err != nil {
		return nil, parseError(err)
	}
	o.Args = append(positional, fs.Args()...)
	faults := append(o.parseTexts(texts), o.check()...)
	if len(faults) > 0 {
		return nil, &UsageError{
			Command: o.Command,
			Faults:  faults,
		}
	}
	return o, nil
}

// Usage returns the usage text.
func Usage() string { return usage }

// textFlags are the flags that are parsed as text and converted by parseTexts.
type textFlags struct {
	host, domain, index, service string
	controls, peers, bootstrap   string
	shards, from, hosts, expect  string
}

func (o *Options) register(fs *flag.FlagSet, t *textFlags) {
	fs.StringVar(&t.host, "host", "", "")
	fs.StringVar(&t.domain, "domain", "", "")
	fs.StringVar(&o.Listen, "listen", o.defaultListen(), "")
	fs.StringVar(&o.LinkListen, "link-listen", "", "")
	fs.StringVar(&o.Advertise, "advertise", "", "")
	fs.StringVar(&o.LogLevel, "log-level", "info", "")
	fs.IntVar(&o.Memory, "memory", 0, "")
	fs.IntVar(&o.Descriptors, "descriptors", 0, "")
	fs.StringVar(&t.controls, "control", o.defaultControl(), "")
	fs.StringVar(&t.peers, "peers", "", "")
	fs.DurationVar(&o.Grace, "grace", defaultGrace, "")
	fs.StringVar(&o.TraceFile, "trace-file", "", "")
	fs.Float64Var(&o.TraceRatio, "trace-ratio", o.defaultTraceRatio(), "")
	fs.StringVar(&o.RecordFile, "record-file", "", "")
	fs.StringVar(&o.Data, "data", "", "")
	fs.StringVar(&o.PlatformList, "platform-list", "", "")
	fs.BoolVar(&o.NewGroup, "new-group", false, "")
	fs.StringVar(&t.bootstrap, "bootstrap", "", "")
	fs.StringVar(&o.ID, "id", "", "")
	fs.StringVar(&t.expect, "expect", "", "")
	fs.DurationVar(&o.Timeout, "timeout", defaultTimeout, "")
	fs.BoolVar(&o.JSON, "json", false, "")
	o.registerTools(fs, t)
}

func (o *Options) registerTools(fs *flag.FlagSet, t *textFlags) {
	fs.StringVar(&t.index, "index", "", "")
	fs.StringVar(&t.service, "service", "", "")
	fs.StringVar(&t.shards, "shards", "", "")
	fs.IntVar(&o.Slots, "slots", defaultSlots, "")
	fs.IntVar(&o.ConnLimit, "conn-limit", defaultConnLimit, "")
	fs.DurationVar(&o.ConnCost, "conn-cost", defaultConnCost, "")
	fs.DurationVar(&o.ServiceTime, "service-time", defaultServiceTime, "")
	fs.Uint64Var(&o.Seed, "seed", 1, "")
	fs.StringVar(&o.Shape, "shape", "thesiswell", "")
	fs.IntVar(&o.Entries, "entries", defaultEntries, "")
	fs.IntVar(&o.ControlHosts, "controls", defaultControlHosts, "")
	fs.StringVar(&o.Scenario, "scenario", "", "")
	fs.Float64Var(&o.Rate, "rate", defaultRate, "")
	fs.DurationVar(&o.Duration, "duration", o.defaultDuration(), "")
	fs.StringVar(&o.Report, "report", "", "")
	fs.StringVar(&t.from, "from", "http://"+defaultEntryListen, "")
	fs.StringVar(&o.To, "to", "", "")
	fs.StringVar(&o.FaultListen, "fault-listen", "", "")
	fs.StringVar(&o.Out, "out", "", "")
	fs.StringVar(&t.hosts, "hosts", "", "")
	fs.StringVar(&o.Role, "role", defaultRole, "")
	fs.StringVar(&o.CA, "ca", "", "")
	fs.StringVar(&o.Cert, "cert", "", "")
	fs.StringVar(&o.Key, "key", "", "")
	fs.BoolVar(&o.AllowPlaintext, "allow-plaintext", false, "")
}

func (o *Options) defaultListen() string {
	switch o.Command {
	case Entry:
		return defaultEntryListen
	case Control:
		return defaultControlListen
	default:
		return ""
	}
}

func (o *Options) defaultControl() string {
	if o.Operator() {
		return defaultControlListen
	}
	return ""
}

// defaultTraceRatio traces all requests in the local deployments of dev and
// demo, which have little load.
func (o *Options) defaultTraceRatio() float64 {
	if o.Command == Dev || o.Command == Demo {
		return 1
	}
	return defaultTraceRatio
}

func (o *Options) defaultDuration() time.Duration {
	if o.Command == Bench {
		return defaultBenchDuration
	}
	return defaultDuration
}

// Operator reports whether the command is an operator command, which calls a
// control host.
func (o *Options) Operator() bool {
	switch o.Command {
	case Status, Preset, Upstream, Member, Filing:
		return true
	default:
		return false
	}
}

// splitArgs separates the leading arguments from the flags, so that flags can
// follow arguments, as in "preset switch peak -json".
func splitArgs(args []string) (positional, flags []string) {
	for i, a := range args {
		if strings.HasPrefix(a, "-") {
			return positional, args[i:]
		}
		positional = append(positional, a)
	}
	return positional, nil
}

func isHelp(a string) bool { return a == "-h" || a == "-help" || a == "--help" || a == "help" }
