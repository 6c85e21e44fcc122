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
	// applyTime is how long an acknowledged configuration may take to become
	// active on all hosts. rollbackSlack is how long a host may still complete
	// requests under the previous configuration.
	applyTime     = 3 * time.Second
	rollbackSlack = 250 * time.Millisecond

	// settleTime is how long a host and the control hosts must have run without
	// faults before the rules with a time bound apply.
	settleTime = 4 * time.Second

	// ackTime is how long a control group without faults may take to acknowledge
	// a configuration.
	ackTime = 5 * time.Second

	// requestTimeout is how long an operator waits before trying another host.
	requestTimeout = time.Second

	markServices = 8 // services whose names show the configuration index modulo 8
)

// operator records which configurations were sent and acknowledged, and checks
// those that hosts use and return.
type operator struct {
	history *history

	mu           sync.Mutex
	index        map[int]int    // by version
	content      map[int]string // by version
	acks         []ack
	highestIndex int                    // of the configurations sent
	shown        map[string]observation // by host
}

type ack struct {
	version int
	at      time.Time
}

// observation is the newest configuration that a host has been seen to use.
type observation struct {
	index int
	at    time.Time
}

func newOperator(h *history) *operator {
	return &operator{
		history: h,
		index:   make(map[int]int),
		content: make(map[int]string),
		shown:   make(map[string]observation),
	}
}

func (o *operator) recordSent(version, index int, content string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.index[version], o.content[version] = index, content
	o.highestIndex = max(o.highestIndex, index)
}

func (o *operator) recordAck(at time.Time, version int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.acks = append(o.acks, ack{
		version: version,
		at:      at,
	})
}

// newestAcked returns the highest version acknowledged by a time. The caller must
// hold the lock.
func (o *operator) newestAcked(by time.Time) int {
	version := 0
	for _, a := range o.acks {
		if !a.at.After(by) {
			version = max(version, a.version)
		}
	}
	return version
}

// checkRead checks a configuration that a control host returned to a request
// sent at the given time.
func (o *operator) checkRead(sent time.Time, version int, content string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if newest := o.newestAcked(sent); version < newest {
		o.history.violation(ruleConfig, "version %d was read, %d had been acknowledged", version, newest)
	}
	if want, ok := o.content[version]; !ok || want != content {
		o.history.violation(ruleConfig, "version %d was read with other content than was sent", version)
	}
}

// checkShown checks the configuration that a host used for a request sent at the
// given time. The slot is the configuration's index modulo markServices; faultFree
// is how long both the host and the control hosts have been without faults.
func (o *operator) checkShown(host string, sent time.Time, slot int, faultFree time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	index := o.highestIndex - (o.highestIndex-slot%markServices+markServices)%markServices
	last, known := o.shown[host]
	if known && index < last.index && sent.Sub(last.at) > rollbackSlack {
		o.history.violation(ruleConfig, "%s returned from configuration %d to %d", host, last.index, index)
	}
	if !known || index > last.index {
		o.shown[host] = observation{
			index: index,
			at:    time.Now(),
		}
	}
	if want := o.index[o.newestAcked(sent.Add(-applyTime))]; faultFree >= settleTime && index < want {
		o.history.violation(ruleConfig, "%s uses configuration %d, %d was acknowledged more than %s before", host, index, want, applyTime)
	}
}

// forget drops the observation of a host, since a restarted process may begin
// with an older configuration.
func (o *operator) forget(host string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.shown, host)
}

// configDocument returns a configuration. Its index selects the service of the
// mark route, so that answers on this route show the index.
func configDocument(version, index int) string {
	var shards, services []string
	for i := range shardCount {
		shards = append(shards, fmt.Sprintf("%q", shardName(i)))
		services = append(services, fmt.Sprintf(`{"Name":%q,"MaxConnections":80}`, shardName(i)))
	}
	for i := range markServices {
		services = append(services, fmt.Sprintf(`{"Name":"mark-%d","MaxConnections":200}`, i))
	}
	var accounts []string
	for i := range accountCount {
		accounts = append(accounts, fmt.Sprintf(`{"Name":%q,"ApiKeys":[%q],"Priority":%d}`, accountName(i), accountKey(i), i))
	}
	services = append(services, `{"Name":"desk","MaxConnections":400}`)
	route := func(name, kind, service string) string {
		return fmt.Sprintf(`{"Name":%q,"Host":%q,"PathPrefix":"/%s/","Kind":%q,"TimeoutMs":3000,"TargetLatencyMs":400,"Priority":2,"Service":%q,"MaxAttempts":%d}`,
			name, callerHost, name, kind, service, maxAttempts)
	}
	return fmt.Sprintf(`{"Version":%d,"Routes":[%s,%s,%s,{"Name":"search","Host":%q,"PathPrefix":"/search/","Kind":"safe","TimeoutMs":3000,"TargetLatencyMs":300,"Priority":1,"Gather":[%s],"MaxAttempts":%d,"TopK":%d,"MinShardRatio":%v}],"Services":[%s],"Limits":{},"Tenants":[%s]}`,
		version, route("read", "safe", "desk"), route("file", "unsafe", "desk"), route("mark", "safe", fmt.Sprintf("mark-%d", index%markServices)),
		callerHost, strings.Join(shards, ","), maxAttempts, topRecords, minShare, strings.Join(services, ","), strings.Join(accounts, ","))
}

// putConfig sends a configuration to random control hosts until one accepts or
// rejects it. It returns the status, 0 if the time limit passed first.
func (cl *cluster) putConfig(ctx context.Context, rng *rand.Rand, body string, limit time.Duration) int {
	for end := time.Now().Add(limit); ctx.Err() == nil && time.Now().Before(end); {
		c := cl.controls[rng.IntN(len(cl.controls))]
		status, _ := call(ctx, http.MethodPut, c.operatorURL(), body)
		if status == http.StatusOK || status == http.StatusBadRequest {
			return status
		}
		pause(ctx, 100*time.Millisecond)
	}
	return 0
}

func call(ctx context.Context, method, url, body string) (status int, answer string) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	res, err := operatorClient.Do(req)
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

// operatorClient opens a new connection for each call.
var operatorClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// operate changes the configuration until ctx ends: one version at a time, two
// concurrently, or an invalid one. After each step it reads the configuration
// back and checks it.
func (cl *cluster) operate(ctx context.Context, rng *rand.Rand) {
	version, index := 1, 0
	for ctx.Err() == nil {
		pause(ctx, time.Duration(300+rng.IntN(1200))*time.Millisecond)
		switch rng.IntN(6) {
		case 0:
			bad := configDocument(version+500000, index+1)
			bad = strings.Replace(bad, `"Service":"desk"`, `"Service":"nowhere"`, 1)
			if status := cl.putConfig(ctx, rng, bad, 3*time.Second); status == http.StatusOK {
				cl.history.violation(ruleConfig, "an invalid configuration was acknowledged")
			}
		case 1: // two operators at once, one with an older version
			version += 2
			index += 2
			var group sync.WaitGroup
			for behind := range 2 {
				seed := rng.Uint64()
				cl.operator.recordSent(version-behind, index-behind, configDocument(version-behind, index-behind))
				group.Go(func() { cl.submit(ctx, rand.New(rand.NewPCG(seed, 2)), version-behind, index-behind) })
			}
			group.Wait()
		default:
			version += 1 + rng.IntN(9)
			index++
			cl.operator.recordSent(version, index, configDocument(version, index))
			cl.submit(ctx, rng, version, index)
		}
		cl.readConfig(ctx, rng)
	}
}

// submit sends a valid configuration and checks that it is acknowledged.
func (cl *cluster) submit(ctx context.Context, rng *rand.Rand, version, index int) {
	start := time.Now()
	switch cl.putConfig(ctx, rng, configDocument(version, index), 15*time.Second) {
	case http.StatusOK:
		cl.operator.recordAck(time.Now(), version)
	case http.StatusBadRequest:
		cl.history.violation(ruleConfig, "version %d is valid but was rejected", version)
	default:
		if took := time.Since(start); ctx.Err() == nil && cl.controlFaultFree() > settleTime+ackTime {
			cl.history.violation(ruleConfig, "version %d was not acknowledged in %s by a control group without faults", version, took)
		}
	}
}

// readConfig reads the configuration from one control host and checks it.
func (cl *cluster) readConfig(ctx context.Context, rng *rand.Rand) bool {
	sent := time.Now()
	status, body := call(ctx, http.MethodGet, cl.controls[rng.IntN(len(cl.controls))].operatorURL(), "")
	if status != http.StatusOK {
		return false
	}
	version := 0
	if _, err := fmt.Sscanf(body, `{"Version":%d,`, &version); err != nil {
		cl.history.violation(ruleConfig, "a configuration without a version was read: %.60q", body)
		return false
	}
	cl.operator.checkRead(sent, version, body)
	return true
}
