package soak_test

import (
	"strings"
	"testing"
	"time"
)

// Guards against a check of the soak that finds nothing in a broken build: each
// row plants one broken promise.
func TestPlantedFaultsAreFound(t *testing.T) {
	good := func(l *ledger, id string, k kind) {
		l.ask(id, asked{kind: k, method: "GET", uri: "/u", at: time.Now()})
	}
	part := func(l *ledger, id, service, stamp string) {
		l.run(stamp, ran{id: id, service: service, leaf: service + "-a", status: 200, body: []byte("0123456789abcdef")})
	}
	whole := func(l *ledger, id string) answer {
		a := answer{status: 200}
		for i := range shardCount {
			stamp := shardName(i) + id
			part(l, id, shardName(i), stamp)
			a.stamps = append(a.stamps, stamp)
		}
		a.body = []byte(strings.Repeat("0123456789abcdef", topRecords))
		return a
	}
	for _, row := range []struct {
		name    string
		promise string
		plant   func(l *ledger)
	}{
		{"nothing", "", func(l *ledger) {
			good(l, "1", search)
			l.answered("1", whole(l, "1"))
		}},
		{"part of another request", mixed, func(l *ledger) {
			good(l, "1", search)
			good(l, "2", search)
			a := whole(l, "1")
			part(l, "2", shardName(0), "foreign")
			a.stamps[0] = "foreign"
			l.answered("1", a)
		}},
		{"one shard twice", mixed, func(l *ledger) {
			good(l, "1", search)
			a := whole(l, "1")
			part(l, "1", shardName(1), "again")
			a.stamps[0] = "again"
			l.answered("1", a)
		}},
		{"a part that is not told to be missing", mixed, func(l *ledger) {
			good(l, "1", search)
			a := whole(l, "1")
			a.stamps = a.stamps[1:]
			l.answered("1", a)
		}},
		{"wrong records", mixed, func(l *ledger) {
			good(l, "1", search)
			a := whole(l, "1")
			a.body = a.body[16:]
			l.answered("1", a)
		}},
		{"cut body", mixed, func(l *ledger) {
			good(l, "1", read)
			part(l, "1", "desk", "s")
			l.answered("1", answer{status: 200, stamp: "s", body: []byte("0123")})
		}},
		{"failure with another status", mixed, func(l *ledger) {
			good(l, "1", read)
			part(l, "1", "desk", "s")
			l.answered("1", answer{status: 500, stamp: "s"})
		}},
		{"request that nobody sent", unasked, func(l *ledger) { l.arrive("9", "desk", "GET", "/u", "") }},
		{"changed request", unasked, func(l *ledger) {
			good(l, "1", read)
			l.arrive("1", "desk", "GET", "/other", "")
		}},
		{"wrong service", route, func(l *ledger) {
			good(l, "1", read)
			l.arrive("1", "shard-0", "GET", "/u", "")
		}},
		{"two runs", twice, func(l *ledger) {
			good(l, "1", file)
			part(l, "1", "desk", "s")
			part(l, "1", "desk", "t")
		}},
		{"false refusal", refused, func(l *ledger) {
			good(l, "1", file)
			part(l, "1", "desk", "s")
			l.answered("1", answer{status: 503})
		}},
		{"run after a refusal", refused, func(l *ledger) {
			good(l, "1", file)
			l.answered("1", answer{status: 503})
			part(l, "1", "desk", "s")
		}},
		{"too many attempts", budget, func(l *ledger) {
			for _, id := range []string{"1", "2", "3", "4"} {
				good(l, id, read)
				for _, stamp := range []string{"s", "t", "u"} {
					part(l, id, "desk", stamp+id)
				}
			}
			l.finish(1, 100, time.Second)
		}},
		{"too many calls", budget, func(l *ledger) {
			good(l, "1", read)
			for range 5 {
				l.arrive("1", "desk", "GET", "/u", "")
			}
			l.finish(0.2, 3, time.Second)
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			l := newLedger()
			row.plant(l)
			faults := l.broken()
			switch {
			case row.promise == "" && len(faults) > 0:
				t.Fatal(faults)
			case row.promise != "" && (len(faults) == 0 || !strings.HasPrefix(faults[0], row.promise+":")):
				t.Fatalf("%s was planted, found %v", row.promise, faults)
			}
		})
	}
}

// Guards against checks of the configuration that find nothing.
func TestPlantedConfigurationFaultsAreFound(t *testing.T) {
	now := time.Now()
	for _, row := range []struct {
		name  string
		found bool
		plant func(o *operator)
	}{
		{"newest is read", false, func(o *operator) { o.readBack(now, 5, "five") }},
		{"older is read", true, func(o *operator) { o.readBack(now, 4, "four") }},
		{"other content is read", true, func(o *operator) { o.readBack(now, 5, "other") }},
		{"host keeps up", false, func(o *operator) { o.seen("front-1", now, 1, calm) }},
		{"host goes back", true, func(o *operator) {
			o.seen("front-1", now, 1, calm)
			o.seen("front-1", now.Add(time.Second), 0, calm)
		}},
		{"host lags", true, func(o *operator) { o.seen("front-1", now.Add(applyTime+time.Second), 0, calm) }},
		{"host lags beside faults", false, func(o *operator) { o.seen("front-1", now.Add(applyTime+time.Second), 0, 0) }},
	} {
		t.Run(row.name, func(t *testing.T) {
			o := newOperator(newLedger())
			o.sent(4, 0, "four")
			o.acked(now.Add(-time.Minute), 4)
			o.sent(5, 1, "five")
			o.acked(now, 5)
			row.plant(o)
			if faults := o.ledger.broken(); (len(faults) > 0) != row.found {
				t.Fatal(faults)
			}
		})
	}
}
