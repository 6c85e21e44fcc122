package guard

import (
	"runtime/debug"
	"syscall"
)

// The smallest settings with which a process serves requests of the usual limits.
const (
	MinMemory      = 48 // MB
	MinDescriptors = 64
)

const (
	// baseBytes is what an entry host uses without callers: its code, the
	// configuration and the state of a few hundred upstreams. 16 to 28 MB were measured.
	baseBytes = 24 << 20

	// defaultBytes applies without a memory setting. No ordinary callers reach it.
	defaultBytes = 512 << 20

	// defaultDescriptors applies if the limit of the process is unknown.
	defaultDescriptors = 1024
)

// SetMemoryLimit lets the garbage collector keep the process below its memory in MB, if
// that is set.
func SetMemoryLimit(memory int) {
	if memory > 0 {
		debug.SetMemoryLimit(collectorLimit(memory))
	}
}

// collectorLimit leaves a margin for what the collector does not count: the pages of the
// program, 10 to 12 MB were measured, and memory that it frees late.
func collectorLimit(memory int) int64 { return int64(memory)<<20*95/100 - 12<<20 }

// Bounds returns the Config for a process with some memory in MB and descriptors; 0 means
// that they are not set. Callers get half of the descriptors, and a third of the memory
// that the process does not use itself. The rest is for upstreams and other hosts, and
// for garbage: with half, one of 8 runs on a busy machine exceeded 64 MB by 10 MB, as
// the collector may use only half of the processor time.
func Bounds(memory, descriptors int) Config {
	c := Config{Bytes: defaultBytes}
	if memory > 0 {
		c.Bytes = (collectorLimit(memory) - baseBytes) / 3
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
		var limit syscall.Rlimit
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil {
			descriptors = int(min(limit.Cur, 1<<20))
		}
	}
	c.Connections = max(1, descriptors/2)
	return c
}
