package memory_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/memory"
)

// reserving keeps 250 of 1,000 bytes for connections that hold 50 or less.
var reserving = memory.Config{
	Bytes:           1000,
	Connections:     8,
	ConnectionBytes: 10,
	SmallBytes:      50,
}

func accept(b *memory.Budget, now time.Duration, ids ...memory.ID) {
	for _, id := range ids {
		b.Accept(at(now), id)
	}
}

// Guards against small requests that are refused since large ones hold the memory, and
// against large ones that take what is kept for small ones.
func TestMemoryIsKeptForSmallRequests(t *testing.T) {
	const now = 4 * time.Second
	for name, c := range map[string]struct {
		run  func(b *memory.Budget) []memory.Drop
		want []memory.Drop
	}{
		"a small request beside large ones that run": {
			run: func(b *memory.Budget) []memory.Drop { return b.Complete(at(now), 4, 40) },
		},
		"a large one beside large ones that run": {
			run:  func(b *memory.Budget) []memory.Drop { return b.Complete(at(now), 4, 100) },
			want: []memory.Drop{{Connection: 4, Reason: memory.Full}},
		},
		"a small one that grows": {
			run: func(b *memory.Budget) []memory.Drop {
				b.Read(at(now), 4, 30, 30)
				return b.Read(at(now), 4, 30, 30)
			},
			want: []memory.Drop{{Connection: 4, Reason: memory.Slow}},
		},
		"a large one beside a small one that sends slowly": {
			run: func(b *memory.Budget) []memory.Drop {
				b.Read(at(0), 3, 10, 10)
				return b.Complete(at(now), 4, 100)
			},
			want: []memory.Drop{{Connection: 4, Reason: memory.Full}},
		},
		"a large one beside a large one that sends slowly": {
			run: func(b *memory.Budget) []memory.Drop {
				b.Finish(at(0), 2, 0)
				b.Read(at(0), 2, 300, 300)
				return b.Complete(at(now), 4, 100)
			},
			want: []memory.Drop{{Connection: 2, Reason: memory.Slow}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := memory.New(reserving)
			accept(b, now, 1, 2, 3, 4)
			is.Equal(len(b.Complete(at(0), 1, 350)), 0)
			is.Equal(len(b.Complete(at(0), 2, 350)), 0)
			is.Equal(c.run(b), c.want)
			is.True(b.Used() <= reserving.Bytes)
		})
	}
}

// Guards against memory that is given away while a dropped connection still holds it.
func TestClosingConnectionsHoldMemory(t *testing.T) {
	is := is.New(t)
	b := memory.New(reserving)
	accept(b, 0, 1, 2, 3, 4)
	b.Read(at(0), 1, 690, 690)
	const now = 8 * time.Second
	is.Equal(b.Read(at(now), 2, 690, 690), []memory.Drop{{Connection: 1, Reason: memory.Slow}, {Connection: 2, Reason: memory.Full}})
	is.Equal(b.Closing(), int64(1400))
	is.Equal(len(b.Read(at(now), 3, 30, 30)), 0) // a small one does not wait for them
	b.Close(2)
	is.Equal(b.Closing(), int64(700))
	is.Equal(b.Read(at(now), 4, 600, 600), []memory.Drop{{Connection: 4, Reason: memory.Full}})
	b.Close(4)
	b.Close(1)
	is.Equal(b.Closing(), int64(0))
	accept(b, now, 5)
	is.Equal(len(b.Read(at(now), 5, 600, 600)), 0)
}

// Guards against buffers that an idle connection keeps and that nobody counts.
func TestRetainedBytesAreCounted(t *testing.T) {
	is := is.New(t)
	b := memory.New(reserving)
	accept(b, 0, 1, 2)
	b.Read(at(0), 1, 500, 500)
	b.Complete(at(0), 1, 0)
	b.Finish(at(0), 1, 500)
	is.Equal(b.Used(), int64(520))
	is.Equal(b.Complete(at(0), 2, 500), []memory.Drop{{Connection: 1, Reason: memory.Unused}})
	b.Finish(at(0), 2, 0)
	is.Equal(b.Used(), reserving.ConnectionBytes)
}

// Guards against connections that are accepted and closed without an answer while they
// could wait.
func TestCrowded(t *testing.T) {
	is := is.New(t)
	b := memory.New(reserving)
	accept(b, 0, 1, 2, 3, 4, 5, 6, 7, 8)
	is.True(!b.Crowded()) // others give way to the next one
	accept(b, 2*time.Second, 9, 10)
	is.True(b.Crowded())
	b.Close(1)
	is.True(!b.Crowded())
}

// model knows what connections hold, and how much of that was refused and so never used.
type model struct {
	budget  *memory.Budget
	held    map[memory.ID]int64
	refused map[memory.ID]int64
	whole   map[memory.ID]bool
	closing map[memory.ID]int64
	// answers are bytes of answers, which are never refused, and grown those of small
	// connections that became large by their answer.
	answers int64
	grown   int64
}

// took records what a step of a connection reserved, and the drops that it caused.
func (m *model) took(id memory.ID, bytes int64, drops []memory.Drop) {
	m.held[id] += bytes
	for _, d := range drops {
		if d.Connection == id {
			m.refused[id] = bytes
		}
		m.closing[d.Connection] = m.held[d.Connection]
		delete(m.held, d.Connection)
		delete(m.whole, d.Connection)
	}
}

// used returns the bytes that open and closing connections hold, and those of large
// open ones.
func (m *model) used() (open, large, closing int64) {
	for _, held := range m.held {
		open += held
		if held > reserving.SmallBytes {
			large += held
		}
	}
	for id, held := range m.closing {
		closing += held - m.refused[id]
	}
	return open, large, closing
}

func (m *model) check() (wrong string) {
	open, large, closing := m.used()
	const reserved = 250
	switch {
	case open != m.budget.Used():
		return "the sum of what connections hold is wrong"
	case open > reserving.Bytes+m.answers:
		return "all connections hold too much"
	case large > reserving.Bytes-reserved+m.answers+m.grown:
		return "large connections hold too much"
	case open+closing > reserving.Bytes*9/4+m.answers:
		return "open and closing connections hold too much"
	case len(m.held) == 0 && len(m.closing) == 0 && m.budget.Closing() != 0:
		return "closed connections hold memory"
	}
	return ""
}

// step lets a connection do the next thing that it can.
func (m *model) step(now ident.Instant, id memory.ID, kind int, size int64) {
	switch {
	case kind == 0 && m.whole[id]:
		m.answers += size
		m.grown += min(m.held[id], reserving.SmallBytes)
		m.took(id, size, m.budget.Answer(now, id, size))
		delete(m.whole, id)
	case kind == 1:
		delete(m.whole, id)
		retained := min(size, m.held[id]-reserving.ConnectionBytes)
		m.budget.Finish(now, id, retained)
		m.held[id] = reserving.ConnectionBytes + retained
	case kind == 2:
		m.budget.Close(id)
		delete(m.held, id)
		delete(m.whole, id)
	case !m.whole[id]:
		drops := m.budget.Read(now, id, size, size)
		m.took(id, size, drops)
		if _, open := m.held[id]; open && kind == 3 {
			m.whole[id] = true
			m.took(id, size, m.budget.Complete(now, id, size))
		}
	}
}

// Guards against sums that drift and bounds that are exceeded by what closing
// connections still hold.
func TestBoundsCountClosingConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			budget:  memory.New(reserving),
			held:    make(map[memory.ID]int64),
			refused: make(map[memory.ID]int64),
			whole:   make(map[memory.ID]bool),
			closing: make(map[memory.ID]int64),
		}
		now, last := ident.Instant(0), memory.ID(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			kind, size := rapid.IntRange(0, 9).Draw(t, "kind"), int64(rapid.IntRange(0, 300).Draw(t, "size"))
			open, closing := slices.Sorted(maps.Keys(m.held)), slices.Sorted(maps.Keys(m.closing))
			switch {
			case kind >= 8 || len(open) == 0:
				last++
				m.took(last, reserving.ConnectionBytes, m.budget.Accept(now, last))
			case kind == 7 && len(closing) > 0:
				id := rapid.SampledFrom(closing).Draw(t, "closing")
				m.budget.Close(id)
				delete(m.closing, id)
			default:
				m.step(now, rapid.SampledFrom(open).Draw(t, "id"), kind, size)
			}
			if wrong := m.check(); wrong != "" {
				t.Fatal(wrong)
			}
		}
	})
}
