package notice_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/notice"
	"github.com/jujubethread/jujubethread/pkg/quota"
)

const key = quota.Key(7)

func at(d time.Duration) ident.Instant { return ident.Instant(time.Hour + d) }

func ExampleDepartures() {
	d := notice.NewDepartures()
	fmt.Println(d.Record(at(0), key))
	_, leaving := d.Since(at(time.Second), key)
	fmt.Println(leaving)
	// Output:
	// true
	// true
}

func ExamplePauses() {
	p := notice.NewPauses(1)
	p.Record(at(0), key, 4*time.Second)
	_, paused := p.Paused(at(3999*time.Millisecond), key)
	fmt.Println(paused)
	_, paused = p.Paused(at(5*time.Second), key)
	fmt.Println(paused, p.Returning(at(5*time.Second), key))
	p.Succeeded(at(5*time.Second), key)
	fmt.Println(p.Returning(at(5*time.Second), key))
	// Output:
	// true
	// false true
	// false
}

// Guards against an upstream that is taken for one that stays because of the
// answer to a call that was sent before it said that it leaves.
func TestEarlierCallTakesNothingBack(t *testing.T) {
	is := is.New(t)
	d := notice.NewDepartures()
	d.Record(at(0), key)
	is.True(!d.Stays(at(time.Second), at(-time.Second), key))
	is.True(!d.Stays(at(time.Second), at(0), key))
	_, leaving := d.Since(at(time.Second), key)
	is.True(leaving)
	is.True(d.Stays(at(2*time.Second), at(time.Second), key))
	_, leaving = d.Since(at(2*time.Second), key)
	is.True(!leaving)
}

// Guards against a statement that was taken back and returns with the copy of
// another host, and against copies that are passed on for ever.
func TestOlderCopyIsNoNews(t *testing.T) {
	is := is.New(t)
	d := notice.NewDepartures()
	is.True(!d.Learn(at(0), at(-time.Second), key, false))
	is.True(d.Learn(at(0), at(-time.Second), key, true))
	is.True(!d.Learn(at(0), at(-500*time.Millisecond), key, true))
	is.True(d.Stays(at(2*time.Second), at(time.Second), key))
	is.True(!d.Learn(at(3*time.Second), at(-time.Second), key, true))
	is.True(!d.Learn(at(3*time.Second), at(2100*time.Millisecond), key, true))
	is.True(d.Learn(at(3*time.Second), at(2500*time.Millisecond), key, true))
}

// Guards against a host that takes an upstream's first second of leaving anew with
// each answer, or each copy of another host, that says so.
func TestDepartureCountsFromTheFirstStatement(t *testing.T) {
	is := is.New(t)
	d := notice.NewDepartures()
	is.True(d.Record(at(0), key))
	is.True(!d.Record(at(time.Second), key))
	is.True(!d.Learn(at(time.Second), at(900*time.Millisecond), key, true))
	since, leaving := d.Since(at(2*time.Second), key)
	is.True(leaving)
	is.Equal(since, at(0))
}

// Guards against statements that grow without bound, and against one that holds
// for ever.
func TestDeparturesAreBounded(t *testing.T) {
	is := is.New(t)
	d := notice.NewDepartures()
	for i := range 10_000 {
		d.Record(at(time.Duration(i)*time.Millisecond), quota.Key(i))
	}
	is.True(d.Len(at(10*time.Second)) <= 4096)
	is.True(d.Len(at(10*time.Second)) >= 3500)
	_, leaving := d.Since(at(10*time.Second), quota.Key(9999))
	is.True(leaving)
	is.Equal(d.Len(at(11*time.Minute)), 0)
}

// Guards against a pause that is cut short: by a success of an earlier call, or by
// an answer that names a shorter one.
func TestPauseIsNotShortened(t *testing.T) {
	is := is.New(t)
	p := notice.NewPauses(1)
	p.Record(at(0), key, 10*time.Second)
	p.Succeeded(at(time.Second), key)
	p.Record(at(time.Second), key, 0)
	p.Record(at(time.Second), key, time.Second)
	_, paused := p.Paused(at(9999*time.Millisecond), key)
	is.True(paused)
}

// Guards against hosts that all return at the moment at which a pause ends, and
// against ones that return before it.
func TestHostsReturnOneAfterTheOther(t *testing.T) {
	is := is.New(t)
	const hosts, length = 200, 4 * time.Second
	first, last := at(time.Hour), at(0)
	for seed := range uint64(hosts) {
		until := notice.NewPauses(seed).Record(at(0), key, length)
		first, last = min(first, until), max(last, until)
	}
	is.True(first >= at(length))
	is.True(last <= at(length+time.Second))
	is.True(last.Sub(first) > 800*time.Millisecond)
}

// Guards against pauses that have no end, or that are remembered for ever.
func TestPausesAreBounded(t *testing.T) {
	is := is.New(t)
	p := notice.NewPauses(1)
	until := p.Record(at(0), key, 365*24*time.Hour)
	is.True(until <= at(notice.MaxPause+time.Second))
	for i := range 10_000 {
		p.Record(at(0), quota.Key(i), time.Duration(i)*time.Millisecond)
	}
	is.True(p.Len(at(0)) <= 4096)
}

// Guards against a statement that is not heard again once an earlier one has
// lapsed, and against another host's copy that has lapsed and hides a new one.
func TestStatementIsHeardAgainAfterItLapsed(t *testing.T) {
	is := is.New(t)
	d := notice.NewDepartures()
	d.Record(at(0), key)
	later := at(notice.DepartureTime + time.Second)
	is.True(d.Record(later, key))
	since, leaving := d.Since(later, key)
	is.True(leaving)
	is.Equal(since, later)

	d = notice.NewDepartures()
	is.True(!d.Learn(later, at(0), key, true))
	is.True(d.Record(later, key))

	d = notice.NewDepartures()
	d.Record(at(0), key)
	is.True(d.Learn(later, later, key, true))
}
