package option

import "time"

const (
	envPrefix = "JUJUBETHREAD"

	defaultEntryListen   = "127.0.0.1:8400"
	defaultRole          = "control"
	defaultControlListen = "127.0.0.1:8500"

	defaultGrace         = 2 * time.Second
	defaultTimeout       = 10 * time.Second
	defaultConnCost      = 6 * time.Millisecond
	defaultServiceTime   = 4 * time.Millisecond
	defaultDuration      = 10 * time.Second
	defaultBenchDuration = 60 * time.Second

	defaultTraceRatio   = 0.01
	defaultSlots        = 2
	defaultConnLimit    = 50
	defaultEntries      = 4
	defaultControlHosts = 3
	defaultRate         = 50.0 // requests per second

	maxEntries      = 64
	maxControlHosts = 9
	maxRate         = 100_000.0
)
