package system_test

import (
	"context"
	"fmt"
	"net"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/admin"
	"github.com/jujubethread/jujubethread/internal/crowd"
	"github.com/jujubethread/jujubethread/internal/ctrl"
	"github.com/jujubethread/jujubethread/internal/wire"
	"github.com/jujubethread/jujubethread/pkg/engine"
)

// The crowds and what the processes of these tests may use.
const (
	crowdClients     = 400
	crowdMessages    = 100 // clients that send messages of 4 MB
	crowdMemory      = 128 // MB
	crowdDescriptors = 250
	crowdTime        = time.Second
	crowdRounds      = 20
	crowdHead        = 15 << 10

	linkMessage = 4 << 20
)

// setCrowdLimits lowers the limits of the processes that a test starts.
func setCrowdLimits(t *testing.T) {
	t.Setenv("JUJUBETHREAD_MEMORY", fmt.Sprint(crowdMemory))
	t.Setenv("JUJUBETHREAD_DESCRIPTORS", fmt.Sprint(crowdDescriptors))
}

// face runs one crowd after the other at a process, and all at once. The process must
// stay within its limits, and ordinary must succeed while connections are still open.
func face(t *testing.T, p *process, address string, shapes []crowd.Shape, ordinary func()) {
	t.Helper()
	process := crowd.Process(p.cmd.Process.Pid)
	for _, s := range append(shapes, crowd.Mixed(shapes)) {
		process.ResetPeak()
		descriptors := 0
		var open []net.Conn
		done := make(chan struct{})
		go func() {
			defer close(done)
			open = crowd.Run(crowd.Config{
				Address: address,
				Clients: crowdClients,
				Time:    crowdTime,
				Rounds:  crowdRounds,
			}, s)
		}()
		for running := true; running; {
			select {
			case <-done:
				running = false
			case <-time.After(pollInterval):
			}
			descriptors = max(descriptors, process.Descriptors())
		}
		ordinary()
		peak, err := process.Peak()
		is.New(t).NoErr(err)
		t.Logf("%s: peak memory %d MB of %d, %d descriptors of %d", s.Name, peak, crowdMemory, descriptors, crowdDescriptors)
		if peak > crowdMemory*memoryFactor || descriptors > crowdDescriptors {
			t.Errorf("%s: over the limits", s.Name)
		}
		for _, c := range open {
			_ = c.Close()
		}
	}
}

// Guards against crowds of callers of an entry host, and at its listener for other hosts.
func TestCrowdsAtEntryHost(t *testing.T) {
	setCrowdLimits(t)
	s := newSystem(t)
	ordinary := func() { s.awaitAnswer(0, func(a wire.SearchAnswer) bool { return a.Outcome == engine.Done }) }
	start := "POST " + wire.PathSearch + " HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\n"
	t.Run("callers", func(t *testing.T) {
		face(t, s.entries[0], s.callerAddrs[0], crowd.HTTP(start, crowdHead, wire.MaxSearchBytes), ordinary)
	})
	t.Run("filings", func(t *testing.T) {
		filing := strings.Replace(start, wire.PathSearch, wire.PathFilings, 1)
		face(t, s.entries[0], s.callerAddrs[0], crowd.HTTP(filing, crowdHead, wire.MaxFilingBytes), ordinary)
	})
	t.Run("other hosts", func(t *testing.T) {
		shapes := append(crowd.Frames(crowdMessages, linkMessage), crowd.HTTP(start, crowdHead, wire.MaxSearchBytes)...)
		face(t, s.entries[0], s.peerAddrs[0], shapes, ordinary)
	})
}

// Guards against crowds of operators of a control host, and at its listener for other
// hosts.
func TestCrowdsAtControlHost(t *testing.T) {
	setCrowdLimits(t)
	is := is.New(t)
	operators, links := freeAddress(t), freeAddress(t)
	p := startProcess(t, "control", "-host", "c1", "-domain", "d1", "-listen", operators, "-link-listen", links,
		"-data", filepath.Join(t.TempDir(), "data"), "-new-group")
	client := admin.NewClient(admin.Config{
		Controls: []string{operators},
		Timeout:  waitLimit,
	})
	ordinary := func() {
		for end := time.Now().Add(waitLimit); ; time.Sleep(pollInterval) {
			if client.Status(context.Background())[0].Status != nil {
				return
			}
			is.True(time.Now().Before(end)) // no status
		}
	}
	ordinary()
	const maxCommand = 1 << 20 // bytes, the limit of a command
	start := "POST " + ctrl.PathCommands + " HTTP/1.1\r\nHost: a\r\n"
	t.Run("operators", func(t *testing.T) {
		face(t, p, operators, crowd.HTTP(start, crowdHead, maxCommand), ordinary)
	})
	t.Run("other hosts", func(t *testing.T) {
		shapes := append(crowd.Frames(crowdMessages, linkMessage), crowd.HTTP(start, crowdHead, maxCommand)...)
		face(t, p, links, shapes, ordinary)
	})
}

// Guards against crowds without a certificate at a control host that requires one.
func TestCrowdsWithoutCertificate(t *testing.T) {
	setCrowdLimits(t)
	folder := t.TempDir()
	issue := func(role, host string) []string {
		out, err := exec.Command(binary, "keys", "-out", folder, "-role", role, "-hosts", host+"=127.0.0.1").Output()
		is.New(t).NoErr(err)
		return strings.Fields(strings.SplitN(string(out), ": ", 2)[1])
	}
	control, operator := issue("control", "c1"), issue("operator", "op")
	operators, links := freeAddress(t), freeAddress(t)
	p := startProcess(t, append([]string{
		"control", "-host", "c1", "-domain", "d1", "-listen", operators, "-link-listen", links,
		"-data", filepath.Join(t.TempDir(), "data"), "-new-group",
	}, control...)...)
	ordinary := func() {
		for end := time.Now().Add(waitLimit); ; time.Sleep(pollInterval) {
			out, _ := exec.Command(binary, append([]string{"status", "-control", operators}, operator...)...).CombinedOutput()
			if strings.Contains(string(out), "leader") {
				return
			}
			is.New(t).True(time.Now().Before(end)) // no status
		}
	}
	ordinary()
	shapes := crowd.HTTP("GET "+ctrl.PathStatus+" HTTP/1.1\r\nHost: a\r\n", crowdHead, 1<<20)
	t.Run("operators", func(t *testing.T) { face(t, p, operators, shapes, ordinary) })
	t.Run("other hosts", func(t *testing.T) { face(t, p, links, shapes, ordinary) })
}
