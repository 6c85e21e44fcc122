package guard

import (
	"fmt"
	"os"
	"runtime/debug"
	"strings"
	"sync"
	"syscall"
	"time"
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

	// minProgramBytes is the size of the smallest program.
	minProgramBytes = 12 << 20
	// defaultBytes is what callers may hold without a memory setting. No ordinary callers
	// reach it.
	defaultBytes = 512 << 20

	// usualBodyBytes and usualHeadBytes are the limits of a request that every process
	// serves.
	usualBodyBytes = 1 << 20
	usualHeadBytes = 16 << 10

	// defaultDescriptors applies if the limit of the process is unknown.
	defaultDescriptors = 1024

	// checkConnections and checkBytes bound what clients of readiness checks, and those
	// of metrics, hold of a process. Of each there are a few, with one request at a time.
	checkConnections = 32
	checkBytes       = 2 << 20
	// checkHeadBytes bounds the heads of their requests.
	checkHeadBytes   = 8 << 10
	checkHeadTimeout = 2 * time.Second
)

// SetMemoryLimit lets the garbage collector keep the process below its memory in MB, if
// that is set.
func SetMemoryLimit(memory int) {
	if memory > 0 {
		debug.SetMemoryLimit(collectorLimit(memory))
	}
}

// collectorLimit leaves a margin for what the collector does not count: the pages of the
// program, and memory that it frees late.
func collectorLimit(memory int) int64 { return int64(memory)<<20*95/100 - programBytes() }

// programBytes returns the size of the program in memory, all of whose pages may be in use.
var programBytes = sync.OnceValue(func() int64 {
	program, err := os.Readlink("/proc/self/exe")
	if err != nil {
		return minProgramBytes
	}
	maps, err := os.ReadFile("/proc/self/maps")
	if err != nil {
		return minProgramBytes
	}
	size := int64(0)
	for line := range strings.Lines(string(maps)) {
		var from, to int64
		if _, err := fmt.Sscanf(line, "%x-%x", &from, &to); err == nil && strings.HasSuffix(strings.TrimSpace(line), " "+program) {
			size += to - from
		}
	}
	return max(size, minProgramBytes)
})

// CallerBounds returns the Config for the callers of a process with some memory in MB and
// descriptors; 0 means that they are not set. Callers get half of the descriptors, and a
// third of the memory that the process does not use itself, and room for one request of
// the usual limits. The rest is for upstreams and other hosts, and for garbage: with half,
// one of 8 runs on a busy machine exceeded 64 MB by 10 MB, as the collector may use only
// half of the processor time.
func CallerBounds(memory, descriptors int) Config {
	return Config{
		Clients:     "callers",
		Bytes:       max(share(memory, 3), requestBytes(usualBodyBytes, usualHeadBytes)),
		Connections: max(1, countDescriptors(descriptors)/2),
	}
}

// OperatorBounds returns the Config for the operators of a control host, who send bodies
// of up to some bytes. One such body always finds room, with its copies.
func OperatorBounds(memory, descriptors int, body int64) Config {
	return Config{
		Clients:     "operators",
		Bytes:       max(share(memory, 3), requestBytes(body, defaultHeadBytes)),
		Connections: max(1, countDescriptors(descriptors)/4),
	}
}

// HostBounds returns the Config for the connections of other hosts, which send messages
// of up to some bytes. They get a sixth of the memory that the process does not use
// itself, and room for one such message. An entry host has a quarter of its descriptors
// for them, a control host, which all entry hosts poll, half.
func HostBounds(memory, descriptors int, message int64, control bool) Config {
	c := Config{
		Clients:     "hosts",
		Bytes:       max(share(memory, 6), withReserve(rawCopies*message+connectionBytes)),
		Connections: max(1, countDescriptors(descriptors)/4),
	}
	if control {
		c.Connections *= 2
	}
	return c
}

// CheckBounds returns the Config for a listener that answers short requests without a
// body, such as readiness checks or metrics; clients names those who connect.
func CheckBounds(clients string, descriptors int) Config {
	return Config{
		Clients:     clients,
		Bytes:       checkBytes,
		Connections: max(1, min(checkConnections, countDescriptors(descriptors)/16)),
		Limits: func() Limits {
			return Limits{
				HeadBytes:   checkHeadBytes,
				HeadTimeout: checkHeadTimeout,
			}
		},
	}
}

// share returns a part of the memory that a process does not use itself.
func share(memory int, part int64) int64 {
	if memory <= 0 {
		return defaultBytes * 3 / part
	}
	return (collectorLimit(memory) - baseBytes) / part
}

// requestBytes returns the bound with which a request with a body and a head of some bytes
// is served while there are no others, also if the head has lines of three bytes.
func requestBytes(body, head int64) int64 {
	return withReserve((1+runningCopies)*body + head + head/3*lineBytes + connectionBytes + smallBytes)
}

// withReserve returns the bound with which large connections may hold some bytes.
func withReserve(large int64) int64 { return large*4/3 + 1 }

// countDescriptors returns the descriptors of the process if they are not set.
func countDescriptors(descriptors int) int {
	if descriptors > 0 {
		return descriptors
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors
	}
	return int(min(limit.Cur, 1<<20))
}
