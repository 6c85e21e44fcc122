package soak_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// applyTime is how long an acknowledged configuration may take to be in
	// force, and rollbackSlack how long a host may still finish older work.
	applyTime     = 3 * time.Second
	rollbackSlack = 250 * time.Millisecond

	// calm is how long a host and the control hosts must have run without
	// faults for the promises with a time bound to hold.
	calm = 4 * time.Second

	// ackTime is how long a calm control group may take to acknowledge.
	ackTime = 5 * time.Second

	// orderTimeout is how long an operator waits before it asks another host.
	orderTimeout = time.Second

	marks = 8 // services that take turns in telling the configuration
)

// operator sends configurations and knows which must be in force.
type operator struct {
	ledger *ledger

	mu      sync.Mutex
	index   map[int]int    // by version
	content map[int]string // by version
	acks    []ack
	sentTo  int // the highest index sent
	hosts   map[string]sight
}

type ack struct {
	version int
	at      time.Time
}

// sight is the newest configuration that a host has shown.
type sight struct {
	index int
	at    time.Time
}

func newOperator(l *ledger) *operator {
	return &operator{
		ledger:  l,
		index:   make(map[int]int),
		content: make(map[int]string),
		hosts:   make(map[string]sight),
	}
}

func (o *operator) sent(version, index int, content string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.index[version], o.content[version] = index, content
	o.sentTo = max(o.sentTo, index)
}

func (o *operator) acked(at time.Time, version int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.acks = append(o.acks, ack{
		version: version,
		at:      at,
	})
}

// newest returns the highest version acknowledged by a time.
func (o *operator) newest(by time.Time) int {
	version := 0
	for _, a := range o.acks {
		if !a.at.After(by) {
			version = max(version, a.version)
		}
	}
	return version
}

// readBack checks a configuration that was read by a request sent at a time.
func (o *operator) readBack(sent time.Time, version int, content string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if newest := o.newest(sent); version < newest {
		o.ledger.fault(config, "version %d was read, %d had been acknowledged", version, newest)
	}
	if want, ok := o.content[version]; !ok || want != content {
		o.ledger.fault(config, "version %d was read with other content than was sent", version)
	}
}

// seen checks the configuration that a host showed for a request sent at a
// time, after both it and the control hosts had been calm for a while.
func (o *operator) seen(host string, sent time.Time, turn int, calmFor time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	index := o.sentTo - (o.sentTo-turn%marks+marks)%marks
	last, known := o.hosts[host]
	if known && index < last.index && sent.Sub(last.at) > rollbackSlack {
		o.ledger.fault(config, "%s went back from configuration %d to %d", host, last.index, index)
	}
	if !known || index > last.index {
		o.hosts[host] = sight{
			index: index,
			at:    time.Now(),
		}
	}
	if want := o.index[o.newest(sent.Add(-applyTime))]; calmFor >= calm && index < want {
		o.ledger.fault(config, "%s runs configuration %d, %d was acknowledged over %s before", host, index, want, applyTime)
	}
}

// restarted forgets what a host has shown, since a new process may start older.
func (o *operator) restarted(host string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.hosts, host)
}

// document returns a configuration; the mark route goes by its index.
func document(version, index int) string {
	var shards, services []string
	for i := range shardCount {
		shards = append(shards, fmt.Sprintf("%q", shardName(i)))
		services = append(services, fmt.Sprintf(`{"Name":%q,"MaxConnections":80}`, shardName(i)))
	}
	for i := range marks {
		services = append(services, fmt.Sprintf(`{"Name":"mark-%d","MaxConnections":200}`, i))
	}
	services = append(services, `{"Name":"desk","MaxConnections":400}`)
	one := func(name, kind, service string) string {
		return fmt.Sprintf(`{"Name":%q,"Host":%q,"PathPrefix":"/%s/","Kind":%q,"TimeoutMs":3000,"TargetLatencyMs":400,"Priority":2,"Service":%q,"MaxAttempts":%d}`,
			name, callerHost, name, kind, service, maxAttempts)
	}
	return fmt.Sprintf(`{"Version":%d,"Routes":[%s,%s,%s,{"Name":"search","Host":%q,"PathPrefix":"/search/","Kind":"safe","TimeoutMs":3000,"TargetLatencyMs":300,"Priority":1,"Gather":[%s],"MaxAttempts":%d,"TopK":%d,"MinShardRatio":%v}],"Services":[%s],"Limits":{}}`,
		version, one("read", "safe", "desk"), one("file", "unsafe", "desk"), one("mark", "safe", fmt.Sprintf("mark-%d", index%marks)),
		callerHost, strings.Join(shards, ","), maxAttempts, topRecords, leastShare, strings.Join(services, ","))
}

// order sends a configuration until a host answers clearly, and returns the
// status; 0 if none did in time.
func (w *world) order(ctx context.Context, rng *rand.Rand, body string, limit time.Duration) int {
	for end := time.Now().Add(limit); ctx.Err() == nil && time.Now().Before(end); {
		c := w.controls[rng.IntN(len(w.controls))]
		status, _ := call(ctx, http.MethodPut, c.operatorURL(), body)
		if status == http.StatusOK || status == http.StatusBadRequest {
			return status
		}
		pause(ctx, 100*time.Millisecond)
	}
	return 0
}

func call(ctx context.Context, method, url, body string) (status int, answer string) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	res, err := orders.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, ""
	}
	return res.StatusCode, string(raw)
}

// orders is the client of operators; each call has its own connection.
var orders = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// operate changes the configuration, races, resends, reads back and sends
// invalid documents until ctx ends.
func (w *world) operate(ctx context.Context, rng *rand.Rand) {
	version, index := 1, 0
	for ctx.Err() == nil {
		pause(ctx, time.Duration(300+rng.IntN(1200))*time.Millisecond)
		switch rng.IntN(6) {
		case 0:
			bad := document(version+500000, index+1)
			bad = strings.Replace(bad, `"Service":"desk"`, `"Service":"nowhere"`, 1)
			if status := w.order(ctx, rng, bad, 3*time.Second); status == http.StatusOK {
				w.ledger.fault(config, "an invalid configuration was acknowledged")
			}
		case 1: // two operators at once, the older version by one of them
			version += 2
			index += 2
			var group sync.WaitGroup
			for back := range 2 {
				seed := rng.Uint64()
				w.operator.sent(version-back, index-back, document(version-back, index-back))
				group.Go(func() { w.change(ctx, rand.New(rand.NewPCG(seed, 2)), version-back, index-back) })
			}
			group.Wait()
		default:
			version += 1 + rng.IntN(9)
			index++
			w.operator.sent(version, index, document(version, index))
			w.change(ctx, rng, version, index)
		}
		w.readConfig(ctx, rng)
	}
}

// change sends a configuration until it is acknowledged.
func (w *world) change(ctx context.Context, rng *rand.Rand, version, index int) {
	begin := time.Now()
	switch w.order(ctx, rng, document(version, index), 15*time.Second) {
	case http.StatusOK:
		w.operator.acked(time.Now(), version)
	case http.StatusBadRequest:
		w.ledger.fault(config, "version %d is valid and was refused", version)
	default:
		if took := time.Since(begin); ctx.Err() == nil && w.coreCalm() > calm+ackTime {
			w.ledger.fault(config, "version %d was not acknowledged in %s by a calm control group", version, took)
		}
	}
}

// readConfig reads the configuration from one control host and checks it.
func (w *world) readConfig(ctx context.Context, rng *rand.Rand) bool {
	sent := time.Now()
	status, body := call(ctx, http.MethodGet, w.controls[rng.IntN(len(w.controls))].operatorURL(), "")
	if status != http.StatusOK {
		return false
	}
	version := 0
	if _, err := fmt.Sscanf(body, `{"Version":%d,`, &version); err != nil {
		w.ledger.fault(config, "a configuration without a version was read: %.60q", body)
		return false
	}
	w.operator.readBack(sent, version, body)
	return true
}
