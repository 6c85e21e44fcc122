package config

const (
	// defaultSeats allows 20 entry hosts and 5 replacements at once.
	defaultSeats = 25
	maxSeats     = 10_000

	// keptCommands is the number of recent command outcomes that a resent
	// command is matched with. Older ones fail on their expected version.
	keptCommands = 4096

	// keptTouches is the number of recent changes that a conflict can list.
	keptTouches = 64
)
