package soak_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
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
		{"status that HTTP does not have", ruleMixed, func(h *history) {
			send(h, "1", read)
			h.checkAnswer("1", answer{status: 600})
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
		{"key at an upstream", ruleTenant, func(h *history) {
			h.recordSent("1", sentRequest{account: "a"})
			h.checkAccount("1", "desk", []string{"a"}, []string{"k"})
		}},
		{"account of another caller", ruleTenant, func(h *history) {
			h.recordSent("1", sentRequest{account: "a"})
			h.checkAccount("1", "desk", []string{"b"}, nil)
		}},
		{"request without an account", ruleTenant, func(h *history) {
			h.recordSent("1", sentRequest{})
			h.checkAccount("1", "desk", nil, nil)
		}},
		{"valid key refused", ruleDenied, func(h *history) {
			h.recordSent("1", sentRequest{account: "a"})
			h.checkAnswer("1", answer{status: 401})
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
		{"request that crashes leaves beyond the third", ruleBudget, func(h *history) {
			for _, id := range []string{"1", "2", "3", "4", "5", "6", "7"} {
				h.recordCrash(id, "/u", time.Hour)
				if c := h.crashers["/u"]; c.crashes == maxCrashes {
					c.thirdAt = time.Now().Add(-crashGrace)
				}
			}
		}},
		{"callers that leave", "", func(h *history) {
			for _, id := range []string{"1", "2", "3", "4"} {
				send(h, id, read)
				h.recordCanceled(id)
				h.recordCall(id, time.Now())
			}
			for range minGoneWork {
				h.recordWork(work{id: "1", ended: time.Now(), full: time.Now().Add(time.Hour)})
			}
			h.checkGone()
		}},
		{"calls for callers that left", ruleGone, func(h *history) {
			for _, id := range []string{"1", "2", "3", "4"} {
				send(h, id, read)
				h.recordCanceled(id)
				h.recordCall(id, time.Now().Add(goneTime+time.Millisecond))
			}
			h.checkGone()
		}},
		{"work for callers that left", ruleGone, func(h *history) {
			send(h, "1", read)
			h.recordCanceled("1")
			for range minGoneWork {
				h.recordWork(work{id: "1", ended: time.Now().Add(goneTime + time.Second), full: time.Now().Add(time.Hour)})
			}
			h.checkGone()
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

// Guards against checks of the processes that find nothing: each row plants a
// fault, or one that the rule allows.
func TestPlantedProcessFaultsAreFound(t *testing.T) {
	const within = 200 * time.Millisecond
	hung := errors.New("no answer")
	drainingLeaf := func(cl *cluster) *leaf { return &leaf{cluster: cl, draining: time.Now().Add(-drainTime - time.Second)} }
	// script replaces the program of a host.
	script := func(h *host, text string) {
		h.cluster.t.Helper()
		h.program = filepath.Join(h.folder, "program")
		if err := os.WriteFile(h.program, []byte("#!/bin/sh\n"+text+"\n"), 0o700); err != nil {
			h.cluster.t.Fatal(err)
		}
		h.start()
	}
	for _, row := range []struct {
		name  string
		rule  string
		plant func(cl *cluster, h *host)
	}{
		{"call to a draining upstream", ruleDrain, func(cl *cluster, _ *host) { cl.checkDrain(drainingLeaf(cl), "1") }},
		{"call to a draining upstream after a fault", "", func(cl *cluster, h *host) {
			h.recordFault(0, false)
			cl.checkDrain(drainingLeaf(cl), "1")
		}},
		{"call to an upstream that began to drain", "", func(cl *cluster, _ *host) {
			cl.checkDrain(&leaf{cluster: cl, draining: time.Now()}, "1")
		}},
		{"call to an evacuated upstream", ruleEvacuation, func(cl *cluster, _ *host) {
			cl.evacuations.set("a", true)
			cl.evacuations.since["a"] = time.Now().Add(-evacuationTime)
			cl.checkEvacuated(&leaf{cluster: cl, domain: "a"}, "1")
		}},
		{"call to an evacuated upstream after a fault", "", func(cl *cluster, h *host) {
			h.recordFault(0, false)
			cl.evacuations.set("a", true)
			cl.evacuations.since["a"] = time.Now().Add(-evacuationTime)
			cl.checkEvacuated(&leaf{cluster: cl, domain: "a"}, "1")
		}},
		{"call to an upstream whose evacuation is new, withdrawn or of another domain", "", func(cl *cluster, _ *host) {
			cl.evacuations.set("a", true)
			cl.evacuations.set("b", false)
			for _, domain := range []string{"a", "b", "c"} {
				cl.checkEvacuated(&leaf{cluster: cl, domain: domain}, "1")
			}
		}},
		{"request that ran and was not answered", ruleLost, func(cl *cluster, h *host) {
			cl.history.recordRun("s", execution{id: "1", service: "desk"})
			cl.checkLost(h, "1", time.Now(), hung)
		}},
		{"request that ran at a host that stops", ruleLost, func(cl *cluster, h *host) {
			h.recordFault(time.Minute, true)
			cl.history.recordRun("s", execution{id: "1", service: "desk"})
			cl.checkLost(h, "1", time.Now(), hung)
		}},
		{"request that ran at a host that was killed", "", func(cl *cluster, h *host) {
			h.recordFault(0, false)
			cl.history.recordRun("s", execution{id: "1", service: "desk"})
			cl.checkLost(h, "1", time.Now(), hung)
		}},
		{"request that did not run", "", func(cl *cluster, h *host) { cl.checkLost(h, "1", time.Now(), hung) }},
		{"host that does not serve again", ruleRecovery, func(cl *cluster, _ *host) {
			cl.awaitHealthy(cl.newCaller(0), rand.New(rand.NewPCG(1, 1)), within)
		}},
		{"configuration that cannot be read again", ruleRecovery, func(cl *cluster, h *host) {
			cl.entries, cl.controls = nil, []*host{h}
			cl.awaitHealthy(cl.newCaller(0), rand.New(rand.NewPCG(1, 1)), within)
		}},
		{"host that exits by itself", ruleExit, func(cl *cluster, h *host) {
			script(h, "exit 3")
			for end := time.Now().Add(startLimit); len(cl.history.allViolations()) == 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
		}},
		{"host that ignores SIGTERM", ruleExit, func(cl *cluster, h *host) {
			script(h, "trap '' TERM; echo ready; while :; do sleep 0.05; done")
			h.awaitLog("ready")
			cl.checkStop(h, within)
		}},
		{"host that SIGHUP ends while it stops", ruleExit, func(cl *cluster, h *host) {
			script(h, "trap 'trap - HUP' HUP; trap '' TERM; echo ready; while :; do sleep 0.05; done")
			h.awaitLog("ready")
			cl.checkStop(h, graceTime)
		}},
		// Guards against SIGHUP sent to a process that no program could catch yet.
		{"host that is stopped as it starts", "", func(cl *cluster, h *host) {
			script(h, "sleep 0.2; trap '' HUP; trap 'exit 0' TERM; echo ready; while :; do sleep 0.01; done")
			cl.checkStop(h, graceTime)
		}},
		{"host that ends on SIGTERM", "", func(cl *cluster, h *host) {
			script(h, "trap '' HUP; trap 'exit 0' TERM; echo ready; while :; do sleep 0.01; done")
			h.awaitLog("ready")
			cl.checkStop(h, graceTime)
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			cl := &cluster{t: t, ctx: ctx, seed: 1, dir: t.TempDir(), history: newHistory()}
			cl.operator = newOperator(cl.history)
			h := &host{cluster: cl, name: "entry-a-1", bound: "127.0.0.1", folder: t.TempDir()}
			cl.entries = []*host{h}
			row.plant(cl, h)
			cancel()
			h.terminate(syscall.SIGKILL, graceTime)
			cl.group.Wait()
			violations := cl.history.allViolations()
			switch {
			case row.rule == "" && len(violations) > 0:
				t.Fatal(violations)
			case row.rule != "" && (len(violations) == 0 || !strings.HasPrefix(violations[0], row.rule+":")):
				t.Fatalf("planted a violation of %s, found %v", row.rule, violations)
			}
		})
	}
}

// Guards against a check of LIMIT that finds nothing: a leaf that has named a
// limit gets more than it tolerates.
func TestPlantedExcessOverALimitIsFound(t *testing.T) {
	cl := &cluster{history: newHistory()}
	l := &leaf{cluster: cl, id: "i-1"}
	l.setLimit(3)
	l.limitedAt = time.Now().Add(-limitGrace - limitWindow - time.Second)
	for range 23 {
		l.applyLimit(http.Header{})
	}
	if v := cl.history.allViolations(); len(v) != 0 {
		t.Fatalf("23 requests are allowed, found %v", v)
	}
	l.applyLimit(http.Header{})
	if v := cl.history.allViolations(); len(v) != 1 || !strings.HasPrefix(v[0], ruleLimit) {
		t.Fatalf("planted a violation of %s, found %v", ruleLimit, v)
	}
}
