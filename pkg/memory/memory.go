// Package memory decides which connections of callers give way when the memory or
// the connections of a process are used up. It is a reducer: the caller reports what
// connections hold and do, and closes those that a Budget names.
//
// It is designed for some thousand connections, of which most may be hostile: a scan
// of all of them is made only when a bound is exceeded, and then frees more than is
// needed, from connections that are in arrears.
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

	// closingFraction is the part of the connections that may be closing in addition
	// to those that are open.
	closingFraction = 4
)

// Config holds the bounds. All must be positive.
type Config struct {
	// Bytes bounds what all connections hold.
	Bytes int64
	// Connections bounds their number.
	Connections int
	// ConnectionBytes is what a connection holds without a request.
	ConnectionBytes int64
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
	// open counts the entries that are connections, closing the connections that were
	// dropped and are not closed yet.
	open    int
	closing int
	used    int64
}

// New returns a Budget without connections.
func New(cfg Config) *Budget {
	return &Budget{
		cfg:     cfg,
		entries: make(map[ID]*entry),
	}
}

// Used returns the bytes held.
func (b *Budget) Used() int64 { return b.used }

// Open returns the number of connections that were not dropped.
func (b *Budget) Open() int { return b.open }

// Accept adds a connection. If it is dropped itself, it must be closed at once.
func (b *Budget) Accept(now ident.Instant, id ID) []Drop {
	b.entries[id] = &entry{
		id:    id,
		since: now,
		held:  b.cfg.ConnectionBytes,
	}
	b.open++
	b.used += b.cfg.ConnectionBytes
	if b.open+b.closing > b.cfg.Connections+b.cfg.Connections/closingFraction {
		return []Drop{b.drop(id, Full)}
	}
	var drops []Drop
	if b.open > b.cfg.Connections {
		spare := b.cfg.Connections / spareFraction
		drops = b.dropAmong(now, func() bool { return b.open > b.cfg.Connections-spare }, func(e *entry) bool { return e.isSlow(now) }, byArrears)
		// A fresh connection is among those that give way, since an ordinary request is
		// whole within milliseconds: else callers that stall for less than stallTime, and
		// then connect again, would keep all others out.
		over := func() bool { return b.open > b.cfg.Connections }
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
		b.used -= e.held
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
	e.held += hold
	b.used += hold
	if b.used <= b.cfg.Bytes {
		e.stage, e.since, e.progress = writing, now, 0
		return nil
	}
	drops := b.makeRoomFor(now, e)
	e.stage, e.since, e.progress = writing, now, 0
	return drops
}

// Sent records that a part of an answer was sent.
func (b *Budget) Sent(id ID, sent int64) {
	if e := b.entries[id]; e != nil {
		e.progress += sent
	}
}

// Finish records that a request was answered and its connection is idle.
func (b *Budget) Finish(now ident.Instant, id ID) {
	e := b.entries[id]
	if e == nil {
		return
	}
	b.used += b.cfg.ConnectionBytes - e.held
	e.held = b.cfg.ConnectionBytes
	e.stage, e.since, e.progress = idle, now, 0
}

// Close removes a connection. It must follow each Accept once, also after a Drop.
func (b *Budget) Close(id ID) {
	e := b.entries[id]
	if e == nil {
		b.closing--
		return
	}
	b.used -= e.held
	b.open--
	delete(b.entries, id)
}

func (b *Budget) hold(now ident.Instant, e *entry, bytes int64) []Drop {
	e.held += bytes
	b.used += bytes
	return b.makeRoom(now, e.id)
}

// makeRoom frees memory until the budget suffices. If nothing else can give way, the
// connection that needs the memory is dropped.
func (b *Budget) makeRoom(now ident.Instant, id ID) []Drop {
	e := b.entries[id]
	if b.used <= b.cfg.Bytes || e == nil {
		return nil
	}
	drops := b.makeRoomFor(now, e)
	if b.used > b.cfg.Bytes && b.entries[id] != nil {
		drops = append(drops, b.drop(id, Full))
	}
	return drops
}

func (b *Budget) makeRoomFor(now ident.Instant, e *entry) []Drop {
	over := func() bool { return b.used > b.cfg.Bytes }
	drops := b.dropSlow(now, func() bool { return b.used > b.cfg.Bytes-b.cfg.Bytes/spareFraction })
	if over() {
		drops = append(drops, b.dropUnfinished(now, over)...)
	}
	return append(drops, b.dropUnused(e.id, over)...)
}

// dropSlow drops connections in arrears while more is wanted.
func (b *Budget) dropSlow(now ident.Instant, more func() bool) []Drop {
	return b.dropAmong(now, more, func(e *entry) bool { return e.isSlow(now) }, bySize)
}

// dropUnfinished drops any connections whose requests or answers are not whole.
func (b *Budget) dropUnfinished(now ident.Instant, more func() bool) []Drop {
	return b.dropAmong(now, more, func(e *entry) bool { return e.stage == reading || e.stage == writing }, bySize)
}

// order is the order in which connections give way: those with the least progress for
// their age first. In bySize, those that hold less than the average come last: to close
// them frees little memory, and most ordinary requests are among them.
type order uint8

const (
	byArrears order = iota
	bySize
)

// dropAmong drops some connections in this order while more is wanted.
func (b *Budget) dropAmong(now ident.Instant, more func() bool, among func(*entry) bool, by order) []Drop {
	if !more() {
		return nil
	}
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
		if !more() {
			break
		}
		drops = append(drops, b.drop(e.id, Slow))
	}
	return drops
}

// dropUnused drops connections without a request: first those that never had one, then
// those that have been idle the longest.
func (b *Budget) dropUnused(except ID, more func() bool) []Drop {
	if !more() {
		return nil
	}
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
		if !more() {
			break
		}
		drops = append(drops, b.drop(e.id, Unused))
	}
	return drops
}

func (b *Budget) drop(id ID, why Reason) Drop {
	e := b.entries[id]
	b.used -= e.held
	if !e.admitted {
		b.open--
		b.closing++
	}
	delete(b.entries, id)
	return Drop{
		Connection: id,
		Reason:     why,
	}
}
