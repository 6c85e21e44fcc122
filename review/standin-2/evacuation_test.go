package standin_test

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"
	"unsafe"
)

func init() {
	cases["full-disk"] = fullDisk
	deployments["full-disk"] = deployment{entriesPerZone: 2}
}

// deskConfig returns a configuration with one route to one service.
func deskConfig(version int) map[string]any {
	return map[string]any{
		"Version": version,
		"Routes": []any{map[string]any{
			"Name": "tag-check", "Host": "a.example", "PathPrefix": "/desk/", "Kind": "safe", "TimeoutMs": 4000,
			"TargetLatencyMs": 250, "Priority": 2, "Service": "desk", "MaxAttempts": 2,
		}},
		"Services": []any{map[string]any{
			"Name": "desk", "HealthCheckPath": "/health", "MaxConnections": 400, "Protocol": "h1", "Tls": false,
		}},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}

// fillDisk makes writes to files of a process fail as on a full disk, or ends that, as
// the project's own soak does: by the process's limit on the size of files.
func (p *process) fillDisk(full bool) {
	limit := struct{ cur, max uint64 }{^uint64(0), ^uint64(0)}
	if full {
		limit.cur = 1
	}
	const rlimitFsize = 1
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(p.cmd.Process.Pid), rlimitFsize,
		uintptr(unsafe.Pointer(&limit)), 0, 0, 0)
	if errno != 0 {
		p.w.notRun("prlimit: %v", errno)
	}
	p.w.log("%s: disk full %v", p.name, full)
}

// leafsIn returns the leafs of a zone.
func (w *world) leafsIn(zone string) (list []*leaf) {
	for _, l := range w.leafs {
		if l.zone == zone {
			list = append(list, l)
		}
	}
	return list
}

// requestsInZone sends requests to all entry hosts for a time, and logs those that
// reached leafs of an evacuated zone. All of them are sent later than EvacuationMs after
// the acknowledgement. It returns their number.
func (w *world) requestsInZone(c *caller, zone string, d time.Duration) int {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	c.load(ctx, w.entries, 40, http.MethodGet, fmt.Sprintf("/desk/%s-%d-", zone, began.UnixMilli()), 2*time.Second).Wait()
	reached := 0
	byEntry := map[string]int{}
	for _, l := range w.leafsIn(zone) {
		for _, a := range l.arrivalsSince(began) {
			s := c.of(a.id)
			reached++
			byEntry[s.entry]++
			if reached <= 10 {
				w.log("leaf %s in %s got request %s (ran: %v) that was sent to %s", l.id, zone, a.id, a.ran, s.entry)
			}
		}
	}
	w.log("%d requests reached leafs in %s, by entry host: %v; answers: %v", reached, zone, byEntry, c.statuses(began))
	return reached
}

func evacuationPath(zone string) string { return "/-/evacuation/" + zone }

// fullDisk: an evacuation was ordered and withdrawn. Then the disk of a control host is
// full for some seconds while a configuration is sent. Later that control host is
// restarted as planned, and a zone is evacuated.
func fullDisk(w *world, trouble bool) bool {
	for _, z := range zones {
		w.addLeaf("desk", z, 6, 5*time.Millisecond)
	}
	w.startAll(deskConfig(3))
	c := w.newCaller()
	time.Sleep(2 * time.Second)
	f := w.controls[1]
	zone := f.zone
	w.requestsInZone(c, zone, time.Second)
	w.order(http.MethodPost, evacuationPath(zone), nil, w.controls)
	time.Sleep(evacuationTime + 500*time.Millisecond)
	if n := w.requestsInZone(c, zone, 2*time.Second); n > 0 {
		w.log("the first evacuation was not obeyed")
		return false
	}
	w.order(http.MethodDelete, evacuationPath(zone), nil, w.controls)
	time.Sleep(time.Second)
	if trouble {
		f.fillDisk(true)
	}
	others := []*process{w.controls[0], w.controls[2]}
	w.putConfig(deskConfig(5), others)
	time.Sleep(4 * time.Second)
	if trouble {
		f.fillDisk(false)
	}
	time.Sleep(connectivityWindow)
	f.restart()
	time.Sleep(connectivityWindow + 2*time.Second)
	w.order(http.MethodPost, evacuationPath(zone), nil, others)
	time.Sleep(evacuationTime + 500*time.Millisecond)
	return w.requestsInZone(c, zone, 8*time.Second) == 0
}
