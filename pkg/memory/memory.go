// Package memory decides which connections of callers give way when the memory or
// the connections of a process are used up. It is a reducer: the caller reports what
// connections hold and do, and closes those that a Budget names.
//
// It is designed for some thousand connections, of which most may be hostile: a scan
// of all of them is made only when a bound is exceeded, and then frees more than is
// needed, from connections that are in arrears. A part of the memory is kept for
// connections that hold little, so that ordinary requests are served while large ones
// hold the rest.
package memory

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

// ID names a connection, or a request that came without one.
type ID uint64

// Reason tells why a connection gives way.
type Reason uint8

// The reasons.
const (
	// Slow connections made the least progress for their age.
	Slow Reason = iota + 1
	// Unused connections were idle, or had sent nothing.
	Unused
	// Full means that nothing else could give way.
	Full
)

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string {
	switch r {
	case Slow:
		return "Slow"
	case Unused:
		return "Unused"
	case Full:
		return "Full"
	}
	return "None"
}

// Drop names a connection that must be closed. It holds nothing any more.
type Drop struct {
	Connection ID
	Reason     Reason
}

const (
	// expectedRate is the progress in bytes per second above which a connection is
	// never in arrears. A body of 256 KB that stops just short of its end is in
	// arrears after 2 s and stallTime.
	expectedRate = 128 << 10

	// stallTime is the time without progress after which a connection is in arrears.
	// Callers send a request at once; lost packets take up to a second to be repeated.
	stallTime = time.Second

	// spareFraction is the part of a bound that is freed in addition, so that not
	// every further byte causes a scan.
	spareFraction = 16

	// closingFraction is the part of a bound that connections which are closing may use
	// in addition to those that are open.
	closingFraction = 4

	// reservedFraction is the part of the memory that only small connections may use.
	reservedFraction = 4
)

// Config holds the bounds. All must be positive.
type Config struct {
	// Bytes bounds what all connections hold.
	Bytes int64
	// Connections bounds their number.
	Connections int
	// ConnectionBytes is what a connection holds without a request.
	ConnectionBytes int64
	// SmallBytes is what a connection with an ordinary request holds at most; 0 means
	// that no memory is kept for such connections.
	SmallBytes int64
}

type stage uint8

const (
	silent  stage = iota // nothing was received yet
	reading              // a request is being received
	running              // the request is whole; it waits or runs
	writing              // the answer is being sent
	idle                 // the last request is answered
)

type entry struct {
	id    ID
	stage stage
	// since is when the stage began, and progress the bytes received or sent in it.
	since    ident.Instant
	progress int64
	held     int64
	// admitted is set for a request without a connection.
	admitted bool
}

// arrears returns by how much a connection is later than the expected rate allows.
func (e *entry) arrears(now ident.Instant) time.Duration {
	return now.Sub(e.since) - time.Duration(e.progress)*time.Second/expectedRate
}

// isSlow reports whether a connection is in arrears. Only waits that are up to the
// caller count: a request that is whole is never slow.
func (e *entry) isSlow(now ident.Instant) bool {
	return (e.stage == silent || e.stage == reading || e.stage == writing) && e.arrears(now) > stallTime
}

// Budget is the reducer for one process.
type Budget struct {
	cfg     Config
	entries map[ID]*entry
	// open counts the entries that are connections.
	open int
	// used is what all entries hold, large what those hold that are not small.
	used  int64
	large int64
	// closing has what connections hold that were dropped and are not closed yet,
	// closingBytes their sum, and closingSmall that of the small ones.
	closing      map[ID]int64
	closingBytes int64
	closingSmall int64
}

// New returns a Budget without connections.
func New(cfg Config) *Budget {
	return &Budget{
		cfg:     cfg,
		entries: make(map[ID]*entry),
		closing: make(map[ID]int64),
	}
}

// Used returns the bytes held.
func (b *Budget) Used() int64 { return b.used }

// Open returns the number of connections that were not dropped.
func (b *Budget) Open() int { return b.open }

// Closing returns the bytes that dropped connections hold until Close.
func (b *Budget) Closing() int64 { return b.closingBytes }

// Crowded reports whether a further connection would be dropped at once since too many
// are closing. It should wait in the accept queue until one is closed.
func (b *Budget) Crowded() bool {
	return len(b.closing) > 0 && b.open+len(b.closing) >= b.cfg.Connections+b.cfg.Connections/closingFraction
}

// Accept adds a connection. If it is dropped itself, it must be closed at once.
func (b *Budget) Accept(now ident.Instant, id ID) []Drop {
	e := &entry{
		id:    id,
		since: now,
	}
	b.entries[id] = e
	b.open++
	b.set(e, b.cfg.ConnectionBytes)
	if b.open+len(b.closing) > b.cfg.Connections+b.cfg.Connections/closingFraction {
		return []Drop{b.drop(id, Full)}
	}
	var drops []Drop
	if b.open > b.cfg.Connections {
		spare := b.cfg.Connections / spareFraction
		drops = b.dropAmong(now, func(*entry) bool { return b.open > b.cfg.Connections-spare }, func(e *entry) bool { return e.isSlow(now) }, byArrears)
		// A fresh connection is among those that give way, since an ordinary request is
		// whole within milliseconds: else callers that stall for less than stallTime, and
		// then connect again, would keep all others out.
		over := func(*entry) bool { return b.open > b.cfg.Connections }
		drops = append(drops, b.dropAmong(now, over, func(e *entry) bool { return e.id != id && (e.stage == silent || e.stage == reading) }, byArrears)...)
		drops = append(drops, b.dropUnused(id, over)...)
	}
	if b.open > b.cfg.Connections {
		return append(drops, b.drop(id, Full))
	}
	return append(drops, b.makeRoom(now, id)...)
}

// Read records that bytes of a request were received, and reserves what they hold.
func (b *Budget) Read(now ident.Instant, id ID, received, hold int64) []Drop {
	e := b.entries[id]
	if e == nil {
		return []Drop{{Connection: id, Reason: Full}}
	}
	if e.stage == silent || e.stage == idle {
		e.stage, e.since, e.progress = reading, now, 0
	}
	e.progress += received
	return b.hold(now, e, hold)
}

// Complete records that a request is whole, and reserves what it holds while it runs.
// If its own connection is dropped, the request must not run.
func (b *Budget) Complete(now ident.Instant, id ID, hold int64) []Drop {
	e := b.entries[id]
	if e == nil {
		return []Drop{{Connection: id, Reason: Full}}
	}
	e.stage = running
	return b.hold(now, e, hold)
}

// Admit reserves what a whole request holds that came without a connection of its own.
// If it is dropped, it must not run.
func (b *Budget) Admit(now ident.Instant, id ID, hold int64) []Drop {
	e := &entry{
		id:       id,
		stage:    running,
		since:    now,
		admitted: true,
	}
	b.entries[id] = e
	return b.hold(now, e, hold)
}

// Release ends what Admit reserved.
func (b *Budget) Release(id ID) {
	if e := b.entries[id]; e != nil {
		b.set(e, 0)
		delete(b.entries, id)
	}
}

// Answer records that an answer is ready to be sent. The answer itself never gives way
// at this time.
func (b *Budget) Answer(now ident.Instant, id ID, hold int64) []Drop {
	e := b.entries[id]
	if e == nil {
		return nil
	}
	b.set(e, e.held+hold)
	var drops []Drop
	if b.over(e) {
		drops = b.makeRoomFor(now, e)
	}
	e.stage, e.since, e.progress = writing, now, 0
	return drops
}

// Sent records that a part of an answer was sent.
func (b *Budget) Sent(id ID, sent int64) {
	if e := b.entries[id]; e != nil {
		e.progress += sent
	}
}

// Finish records that a request was answered and its connection is idle. The connection
// retains some bytes, such as buffers that have grown.
func (b *Budget) Finish(now ident.Instant, id ID, retained int64) {
	e := b.entries[id]
	if e == nil {
		return
	}
	b.set(e, b.cfg.ConnectionBytes+retained)
	e.stage, e.since, e.progress = idle, now, 0
}

// Close removes a connection. It must follow each Accept once, also after a Drop.
func (b *Budget) Close(id ID) {
	e := b.entries[id]
	if e == nil {
		b.closingBytes -= b.closing[id]
		if b.closing[id] <= b.cfg.SmallBytes {
			b.closingSmall -= b.closing[id]
		}
		delete(b.closing, id)
		return
	}
	b.set(e, 0)
	b.open--
	delete(b.entries, id)
}

// set changes what an entry holds.
func (b *Budget) set(e *entry, held int64) {
	if b.isLarge(e) {
		b.large -= e.held
	}
	b.used += held - e.held
	e.held = held
	if b.isLarge(e) {
		b.large += held
	}
}

// isLarge reports whether an entry may not use the memory kept for small ones.
func (b *Budget) isLarge(e *entry) bool { return e.held > b.cfg.SmallBytes }

// largeBytes bounds what large entries hold.
func (b *Budget) largeBytes() int64 { return b.cfg.Bytes - b.reservedBytes() }

// reservedBytes is the memory kept for small entries.
func (b *Budget) reservedBytes() int64 {
	if b.cfg.SmallBytes == 0 {
		return 0
	}
	return b.cfg.Bytes / reservedFraction
}

// over reports whether a bound that applies to an entry is exceeded.
func (b *Budget) over(e *entry) bool {
	return b.used > b.cfg.Bytes || b.isLarge(e) && b.large > b.largeBytes()
}

// closingOver reports whether connections that are closing still hold the memory that an
// entry needs. For small entries only small ones count, so that ordinary requests are not
// refused while large ones close: together these hold at most the bound once more.
func (b *Budget) closingOver(e *entry) bool {
	if !b.isLarge(e) {
		return b.used-b.large+b.closingSmall > b.cfg.Bytes
	}
	return b.used+b.closingBytes > b.cfg.Bytes+b.cfg.Bytes/closingFraction
}

func (b *Budget) hold(now ident.Instant, e *entry, bytes int64) []Drop {
	b.set(e, e.held+bytes)
	return b.makeRoom(now, e.id)
}

// makeRoom frees memory until the budget suffices. If nothing else can give way, the
// connection that needs the memory is dropped.
func (b *Budget) makeRoom(now ident.Instant, id ID) []Drop {
	e := b.entries[id]
	if e == nil {
		return nil
	}
	var drops []Drop
	if b.over(e) {
		drops = b.makeRoomFor(now, e)
	}
	if b.entries[id] != nil && (b.over(e) || b.closingOver(e)) {
		drops = append(drops, b.drop(id, Full))
	}
	return drops
}

// makeRoomFor drops what gives way to an entry. If only the bound of large entries is
// exceeded, these are the only ones to give way.
func (b *Budget) makeRoomFor(now ident.Instant, e *entry) []Drop {
	isLarge := b.isLarge(e)
	over := func(spare int64) func(*entry) bool {
		return func(other *entry) bool {
			return b.used > b.cfg.Bytes-spare || isLarge && b.isLarge(other) && b.large > b.largeBytes()-spare
		}
	}
	drops := b.dropAmong(now, over(b.cfg.Bytes/spareFraction), func(other *entry) bool { return other.isSlow(now) }, bySize)
	if b.over(e) {
		unfinished := func(other *entry) bool { return other.stage == reading || other.stage == writing }
		drops = append(drops, b.dropAmong(now, over(0), unfinished, bySize)...)
	}
	return append(drops, b.dropUnused(e.id, over(0))...)
}

// order is the order in which connections give way: those with the least progress for
// their age first. In bySize, those that hold less than the average come last: to close
// them frees little memory, and most ordinary requests are among them.
type order uint8

const (
	byArrears order = iota
	bySize
)

// dropAmong drops some connections in this order for which more still holds then.
func (b *Budget) dropAmong(now ident.Instant, more, among func(*entry) bool, by order) []Drop {
	var list []*entry
	var sum int64
	for _, e := range b.entries {
		if among(e) {
			list = append(list, e)
			sum += e.held
		}
	}
	small := func(e *entry) int {
		if by == bySize && e.held*int64(len(list)) < sum {
			return 1
		}
		return 0
	}
	slices.SortFunc(list, func(x, y *entry) int {
		return cmp.Or(cmp.Compare(small(x), small(y)), cmp.Compare(y.arrears(now), x.arrears(now)), cmp.Compare(x.id, y.id))
	})
	var drops []Drop
	for _, e := range list {
		if more(e) {
			drops = append(drops, b.drop(e.id, Slow))
		}
	}
	return drops
}

// dropUnused drops connections without a request: first those that never had one, then
// those that have been idle the longest.
func (b *Budget) dropUnused(except ID, more func(*entry) bool) []Drop {
	var list []*entry
	for _, e := range b.entries {
		if e.id != except && (e.stage == silent || e.stage == idle) {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(x, y *entry) int {
		return cmp.Or(cmp.Compare(x.stage, y.stage), cmp.Compare(x.since, y.since), cmp.Compare(x.id, y.id))
	})
	var drops []Drop
	for _, e := range list {
		if more(e) {
			drops = append(drops, b.drop(e.id, Unused))
		}
	}
	return drops
}

func (b *Budget) drop(id ID, why Reason) Drop {
	e := b.entries[id]
	if !e.admitted {
		b.open--
		b.closing[id] = e.held
		b.closingBytes += e.held
		if !b.isLarge(e) {
			b.closingSmall += e.held
		}
	}
	b.set(e, 0)
	delete(b.entries, id)
	return Drop{
		Connection: id,
		Reason:     why,
	}
}
