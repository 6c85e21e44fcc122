package soak_test

import (
	"strings"
	"testing"
	"time"
)

// Guards against a check of the history that finds nothing: each row plants one
// violation of a rule.
func TestPlantedFaultsAreFound(t *testing.T) {
	send := func(h *history, id string, k kind) {
		h.recordSent(id, sentRequest{kind: k, method: "GET", uri: "/u", sentAt: time.Now()})
	}
	runAt := func(h *history, id, service, stamp string) {
		h.recordRun(stamp, execution{id: id, service: service, leaf: service + "-a", status: 200, body: []byte("0123456789abcdef")})
	}
	fullAnswer := func(h *history, id string) answer {
		a := answer{status: 200}
		for i := range shardCount {
			stamp := shardName(i) + id
			runAt(h, id, shardName(i), stamp)
			a.stamps = append(a.stamps, stamp)
		}
		a.body = []byte(strings.Repeat("0123456789abcdef", topRecords))
		return a
	}
	for _, row := range []struct {
		name  string
		rule  string
		plant func(h *history)
	}{
		{"nothing", "", func(h *history) {
			send(h, "1", search)
			h.checkAnswer("1", fullAnswer(h, "1"))
		}},
		{"part of another request", ruleMixed, func(h *history) {
			send(h, "1", search)
			send(h, "2", search)
			a := fullAnswer(h, "1")
			runAt(h, "2", shardName(0), "foreign")
			a.stamps[0] = "foreign"
			h.checkAnswer("1", a)
		}},
		{"two parts of one shard", ruleMixed, func(h *history) {
			send(h, "1", search)
			a := fullAnswer(h, "1")
			runAt(h, "1", shardName(1), "again")
			a.stamps[0] = "again"
			h.checkAnswer("1", a)
		}},
		{"missing part that is not reported", ruleMixed, func(h *history) {
			send(h, "1", search)
			a := fullAnswer(h, "1")
			a.stamps = a.stamps[1:]
			h.checkAnswer("1", a)
		}},
		{"wrong records", ruleMixed, func(h *history) {
			send(h, "1", search)
			a := fullAnswer(h, "1")
			a.body = a.body[16:]
			h.checkAnswer("1", a)
		}},
		{"cut body", ruleMixed, func(h *history) {
			send(h, "1", read)
			runAt(h, "1", "desk", "s")
			h.checkAnswer("1", answer{status: 200, stamp: "s", body: []byte("0123")})
		}},
		{"failure with another status", ruleMixed, func(h *history) {
			send(h, "1", read)
			runAt(h, "1", "desk", "s")
			h.checkAnswer("1", answer{status: 500, stamp: "s"})
		}},
		{"request that nobody sent", ruleUnasked, func(h *history) { h.recordArrival("9", "desk", "GET", "/u", "") }},
		{"changed request", ruleUnasked, func(h *history) {
			send(h, "1", read)
			h.recordArrival("1", "desk", "GET", "/other", "")
		}},
		{"wrong service", ruleRoute, func(h *history) {
			send(h, "1", read)
			h.recordArrival("1", "shard-0", "GET", "/u", "")
		}},
		{"two runs", ruleTwice, func(h *history) {
			send(h, "1", file)
			runAt(h, "1", "desk", "s")
			runAt(h, "1", "desk", "t")
		}},
		{"false refusal", ruleRefused, func(h *history) {
			send(h, "1", file)
			runAt(h, "1", "desk", "s")
			h.checkAnswer("1", answer{status: 503})
		}},
		{"run after a refusal", ruleRefused, func(h *history) {
			send(h, "1", file)
			h.checkAnswer("1", answer{status: 503})
			runAt(h, "1", "desk", "s")
		}},
		{"too many attempts", ruleBudget, func(h *history) {
			for _, id := range []string{"1", "2", "3", "4"} {
				send(h, id, read)
				for _, stamp := range []string{"s", "t", "u"} {
					runAt(h, id, "desk", stamp+id)
				}
			}
			h.checkTotals(1, 100, time.Second)
		}},
		{"too many calls", ruleBudget, func(h *history) {
			send(h, "1", read)
			for range 5 {
				h.recordArrival("1", "desk", "GET", "/u", "")
			}
			h.checkTotals(0.2, 3, time.Second)
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			h := newHistory()
			row.plant(h)
			violations := h.allViolations()
			switch {
			case row.rule == "" && len(violations) > 0:
				t.Fatal(violations)
			case row.rule != "" && (len(violations) == 0 || !strings.HasPrefix(violations[0], row.rule+":")):
				t.Fatalf("planted a violation of %s, found %v", row.rule, violations)
			}
		})
	}
}

// Guards against checks of the configuration that find nothing: each row plants
// one observation, correct or wrong.
func TestPlantedConfigurationFaultsAreFound(t *testing.T) {
	now := time.Now()
	for _, row := range []struct {
		name  string
		found bool
		plant func(o *operator)
	}{
		{"newest is read", false, func(o *operator) { o.checkRead(now, 5, "five") }},
		{"older is read", true, func(o *operator) { o.checkRead(now, 4, "four") }},
		{"other content is read", true, func(o *operator) { o.checkRead(now, 5, "other") }},
		{"host keeps up", false, func(o *operator) { o.checkShown("front-1", now, 1, settleTime) }},
		{"host returns to an older configuration", true, func(o *operator) {
			o.checkShown("front-1", now, 1, settleTime)
			o.checkShown("front-1", now.Add(time.Second), 0, settleTime)
		}},
		{"host lags", true, func(o *operator) { o.checkShown("front-1", now.Add(applyTime+time.Second), 0, settleTime) }},
		{"host lags beside faults", false, func(o *operator) { o.checkShown("front-1", now.Add(applyTime+time.Second), 0, 0) }},
	} {
		t.Run(row.name, func(t *testing.T) {
			o := newOperator(newHistory())
			o.recordSent(4, 0, "four")
			o.recordAck(now.Add(-time.Minute), 4)
			o.recordSent(5, 1, "five")
			o.recordAck(now, 5)
			row.plant(o)
			if violations := o.history.allViolations(); (len(violations) > 0) != row.found {
				t.Fatal(violations)
			}
		})
	}
}
