package memory_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/memory"
)

var config = memory.Config{
	Bytes:           1000,
	Connections:     8,
	ConnectionBytes: 10,
}

func at(d time.Duration) ident.Instant { return ident.Instant(d) }

// Guards against decisions that drop ordinary callers while hostile ones hold memory.
func TestWhoGivesWay(t *testing.T) {
	const now = 4 * time.Second
	for name, c := range map[string]struct {
		before func(b *memory.Budget)
		want   []memory.Drop
	}{
		"enough memory": {
			before: func(b *memory.Budget) { b.Read(at(0), 1, 400, 400) },
		},
		"stalled before a fresh one": {
			before: func(b *memory.Budget) {
				b.Read(at(0), 1, 400, 400)
				b.Read(at(now), 2, 400, 400)
			},
			want: []memory.Drop{{Connection: 1, Reason: memory.Slow}},
		},
		"large before small ones of the same age": {
			before: func(b *memory.Budget) {
				b.Read(at(0), 1, 20, 20)
				b.Read(at(0), 2, 900, 900)
			},
			want: []memory.Drop{{Connection: 2, Reason: memory.Slow}},
		},
		"one that sends before one that waits": {
			before: func(b *memory.Budget) {
				b.Read(at(0), 1, 400, 400)
				b.Complete(at(0), 1, 0)
				b.Read(at(now), 2, 400, 400)
			},
			want: []memory.Drop{{Connection: 3, Reason: memory.Slow}, {Connection: 2, Reason: memory.Slow}},
		},
		"slow reader": {
			before: func(b *memory.Budget) {
				b.Read(at(0), 1, 10, 10)
				b.Complete(at(0), 1, 0)
				b.Answer(at(0), 1, 800)
			},
			want: []memory.Drop{{Connection: 1, Reason: memory.Slow}},
		},
		"nothing but whole requests": {
			before: func(b *memory.Budget) {
				b.Read(at(0), 1, 400, 400)
				b.Complete(at(0), 1, 450)
			},
			want: []memory.Drop{{Connection: 3, Reason: memory.Slow}, {Connection: 2, Reason: memory.Unused}, {Connection: 9, Reason: memory.Full}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := memory.New(config)
			for id := memory.ID(1); id <= 3; id++ {
				b.Accept(at(0), id)
			}
			b.Read(at(0), 2, 1, 1)
			b.Complete(at(0), 2, 0)
			b.Finish(at(0), 2, 0) // idle
			c.before(b)
			b.Accept(at(now), 9)
			b.Read(at(now), 9, 1, 1)
			is.New(t).Equal(b.Complete(at(now), 9, 200), c.want)
		})
	}
}

// Guards against more connections than descriptors allow, and against new connections
// that displace those that send a request.
func TestConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	b := memory.New(config)
	for id := memory.ID(1); id <= 8; id++ {
		is.Equal(len(b.Accept(at(0), id)), 0)
		if id > 2 {
			b.Read(at(0), id, 1, 1)
		}
	}
	b.Complete(at(0), 3, 0)
	b.Finish(at(0), 3, 0)
	is.Equal(b.Accept(at(0), 10), []memory.Drop{{Connection: 1, Reason: memory.Slow}})
	is.Equal(b.Accept(at(0), 11), []memory.Drop{{Connection: 2, Reason: memory.Slow}})
	// Two connections are still closing: that is all that may be open beside the others.
	is.Equal(b.Accept(at(0), 12), []memory.Drop{{Connection: 12, Reason: memory.Full}})
	b.Close(1)
	b.Close(2)
	b.Close(12)
	is.Equal(b.Accept(at(0), 12), []memory.Drop{{Connection: 10, Reason: memory.Slow}})
	b.Close(10)
	is.Equal(b.Accept(at(0), 13), []memory.Drop{{Connection: 11, Reason: memory.Slow}})
	is.Equal(b.Accept(at(5*time.Second), 14), []memory.Drop{{Connection: 12, Reason: memory.Slow}})
}

// Guards against sums that drift, bounds that are exceeded, whole requests that are
// dropped for others, and decisions that depend on the order of a map.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, twin := memory.New(config), memory.New(config)
		open, whole, answers := map[memory.ID]bool{}, map[memory.ID]bool{}, int64(0)
		now, next := ident.Instant(0), memory.ID(0)
		var closing []memory.ID
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			size := int64(rapid.IntRange(0, 300).Draw(t, "size"))
			ids := make([]memory.ID, 0, len(open))
			for id := range open {
				ids = append(ids, id)
			}
			slices.Sort(ids)
			var own memory.ID
			if len(ids) > 0 {
				own = rapid.SampledFrom(ids).Draw(t, "id")
			}
			var drops, same []memory.Drop
			kind := rapid.IntRange(0, 6).Draw(t, "kind")
			if own == 0 {
				kind = 0
			}
			switch {
			case kind == 0:
				next++
				own = next
				open[own] = true
				drops, same = b.Accept(now, own), twin.Accept(now, own)
			case kind == 1 && !whole[own]:
				drops, same = b.Read(now, own, size, size), twin.Read(now, own, size, size)
			case kind == 2 && !whole[own]:
				whole[own] = true
				drops, same = b.Complete(now, own, size), twin.Complete(now, own, size)
			case kind == 3 && whole[own]:
				delete(whole, own)
				answers += size
				drops, same = b.Answer(now, own, size), twin.Answer(now, own, size)
			case kind == 4:
				delete(whole, own)
				b.Finish(now, own, 0)
				twin.Finish(now, own, 0)
			case kind == 5:
				delete(open, own)
				delete(whole, own)
				b.Close(own)
				twin.Close(own)
			case kind == 6 && len(closing) > 0:
				b.Close(closing[0])
				twin.Close(closing[0])
				closing = closing[1:]
			}
			if !slices.Equal(drops, same) {
				t.Fatalf("%v and %v differ", drops, same)
			}
			for _, d := range drops {
				if !open[d.Connection] || whole[d.Connection] && d.Connection != own {
					t.Fatalf("%v is dropped for %d", d, own)
				}
				delete(open, d.Connection)
				delete(whole, d.Connection)
				if d.Connection == own && kind == 0 {
					b.Close(own)
					twin.Close(own)
					continue
				}
				closing = append(closing, d.Connection)
			}
			if b.Open() != len(open) || b.Open() > config.Connections || b.Open()+len(closing) > config.Connections*5/4 {
				t.Fatalf("%d are open, %d closing, want %d", b.Open(), len(closing), len(open))
			}
			if b.Used() > config.Bytes+answers || len(open) == 0 && b.Used() != 0 {
				t.Fatalf("%d bytes are held", b.Used())
			}
		}
	})
}
