// Package option holds every setting of the program: the usage text, the
// flags with their environment variables, and the checks that name each bad
// setting with its remedy before a port opens.
package option

import (
	"flag"
	"io"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// Command names a subcommand.
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

// Options are the settings of one run.
type Options struct {
	Command Command
	// Args are the arguments that are not flags.
	Args []string

	Host       ident.HostID
	Domain     ident.Domain
	Listen     string
	LinkListen string
	Advertise  string
	LogLevel   string

	Controls   []string
	Peers      []string
	Grace      time.Duration
	TraceFile  string
	TraceRatio float64
	RecordFile string

	Data     string
	NewGroup bool
	// PlatformList is a file with the entry hosts that the platform lists.
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

// Pair is one NAME=ADDRESS of a list.
type Pair struct {
	Name    string
	Address string
}

// Parse reads the arguments after the program name and the environment. It
// returns flag.ErrHelp when help was asked for and *UsageError, which lists
// every fault, when a setting is wrong.
func Parse(args []string) (*Options, error) {
	if len(args) == 0 || isHelp(args[0]) {
		return nil, flag.ErrHelp
	}
	o := &Options{Command: Command(args[0])}
	if !known(o.Command) {
		return nil, &UsageError{Faults: []string{"command " + args[0] + " does not exist: run jujubethread -h for the list"}}
	}
	words, flags := split(args[1:])
	raw := &lists{}
	fs := flag.NewFlagSet(args[0], flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	o.register(fs, raw)
	if err := ff.Parse(fs, flags, ff.WithEnvVarPrefix(envPrefix)); err != nil {
		return nil, parseError(err)
	}
	o.Args = append(words, fs.Args()...)
	faults := append(o.fill(raw), o.check()...)
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

// lists holds flags that need a second step of parsing.
type lists struct {
	host, domain, index, service string
	controls, peers, bootstrap   string
	shards, from, hosts, expect  string
}

func (o *Options) register(fs *flag.FlagSet, l *lists) {
	fs.StringVar(&l.host, "host", "", "")
	fs.StringVar(&l.domain, "domain", "", "")
	fs.StringVar(&o.Listen, "listen", o.defaultListen(), "")
	fs.StringVar(&o.LinkListen, "link-listen", "", "")
	fs.StringVar(&o.Advertise, "advertise", "", "")
	fs.StringVar(&o.LogLevel, "log-level", "info", "")
	fs.StringVar(&l.controls, "control", o.defaultControl(), "")
	fs.StringVar(&l.peers, "peers", "", "")
	fs.DurationVar(&o.Grace, "grace", defaultGrace, "")
	fs.StringVar(&o.TraceFile, "trace-file", "", "")
	fs.Float64Var(&o.TraceRatio, "trace-ratio", o.defaultTraceRatio(), "")
	fs.StringVar(&o.RecordFile, "record-file", "", "")
	fs.StringVar(&o.Data, "data", "", "")
	fs.StringVar(&o.PlatformList, "platform-list", "", "")
	fs.BoolVar(&o.NewGroup, "new-group", false, "")
	fs.StringVar(&l.bootstrap, "bootstrap", "", "")
	fs.StringVar(&o.ID, "id", "", "")
	fs.StringVar(&l.expect, "expect", "", "")
	fs.DurationVar(&o.Timeout, "timeout", defaultTimeout, "")
	fs.BoolVar(&o.JSON, "json", false, "")
	o.registerTools(fs, l)
}

func (o *Options) registerTools(fs *flag.FlagSet, l *lists) {
	fs.StringVar(&l.index, "index", "", "")
	fs.StringVar(&l.service, "service", "", "")
	fs.StringVar(&l.shards, "shards", "", "")
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
	fs.StringVar(&l.from, "from", "http://"+defaultEntryListen, "")
	fs.StringVar(&o.To, "to", "", "")
	fs.StringVar(&o.FaultListen, "fault-listen", "", "")
	fs.StringVar(&o.Out, "out", "", "")
	fs.StringVar(&l.hosts, "hosts", "", "")
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

// defaultTraceRatio traces everything in a deployment that is for trying out.
func (o *Options) defaultTraceRatio() float64 {
	if o.Command == Dev || o.Command == Demo {
		return 1
	}
	return defaultTraceRatio
}

func (o *Options) defaultDuration() time.Duration {
	if o.Command == Bench {
		return defaultSoak
	}
	return defaultDuration
}

// Operator reports whether the command is one of the operator commands.
func (o *Options) Operator() bool {
	switch o.Command {
	case Status, Preset, Upstream, Member, Filing:
		return true
	default:
		return false
	}
}

// split separates the leading words from the flags, so that "preset switch
// peak -json" reads naturally.
func split(args []string) (words, flags []string) {
	for i, a := range args {
		if strings.HasPrefix(a, "-") {
			return words, args[i:]
		}
		words = append(words, a)
	}
	return words, nil
}

func isHelp(a string) bool { return a == "-h" || a == "-help" || a == "--help" || a == "help" }
