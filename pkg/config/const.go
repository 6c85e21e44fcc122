package config

const (
	// defaultSeats allows 20 entry hosts and 5 replacements at once.
	defaultSeats = 25
	maxSeats     = 10_000

	// maxRecent is the number of command outcomes that are kept to answer
	// commands that are sent again. A command that is older than these is not
	// run twice either: the version that it expects is no longer the current
	// one, so it ends in a conflict.
	maxRecent = 4096

	// maxHistory is the number of recent changes that are kept to explain a
	// conflict.
	maxHistory = 64
)
