package tier_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/tier"
)

// daemonVariable makes the test binary run the daemon instead of the tests.
const daemonVariable = "TIER_TEST_DAEMON"

func TestMain(m *testing.M) {
	if os.Getenv(daemonVariable) != "" {
		os.Exit(tier.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
	}
	// Daemons would inherit an ignored SIGHUP, as under nohup, and none could end of it.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	os.Exit(m.Run())
}

// daemon is a host in a process of its own.
type daemon struct {
	cmd *exec.Cmd
	// ended is closed once the process has ended.
	ended chan struct{}
}

func startDaemon(t *testing.T, args ...string) *daemon {
	t.Helper()
	d := &daemon{
		cmd:   exec.Command(os.Args[0], args...),
		ended: make(chan struct{}),
	}
	d.cmd.Env = append(os.Environ(), daemonVariable+"=1")
	var log bytes.Buffer
	d.cmd.Stdout, d.cmd.Stderr = &log, &log
	if err := d.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = d.cmd.Wait() // the exit status is checked by the test
		close(d.ended)
	}()
	t.Cleanup(func() {
		_ = d.cmd.Process.Kill()
		<-d.ended
		if t.Failed() {
			t.Logf("%s", log.String())
		}
	})
	return d
}

func (d *daemon) signal(s syscall.Signal) { _ = d.cmd.Process.Signal(s) }

// exitStatus waits for the end and returns the status; it is -1 if a signal ended
// the process.
func (d *daemon) exitStatus() int {
	select {
	case <-d.ended:
		return d.cmd.ProcessState.ExitCode()
	case <-time.After(waitTimeout):
		return -2
	}
}

func waitReady(t *testing.T, url string) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		res, err := http.Get(url)
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return
		}
	}
	t.Fatalf("%s is not ready", url)
}

// Guards against a signal during a planned stop, such as SIGHUP for changed settings,
// that ends an entry host at once and cuts the requests in progress.
func TestSignalsDuringAStopCutNothing(t *testing.T) {
	const work = 1200 * time.Millisecond
	s := newSystem(t, work)
	is.New(t).Equal(s.putDocument(s.controls[0], document(5, "/x/")), http.StatusOK)
	const hup, term, interrupt = syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT
	for i, signals := range [][]syscall.Signal{
		{term, hup},
		{hup, term, hup, hup},
		{term, term},
		{term, hup, term, hup},
		{interrupt, hup, term},
	} {
		t.Run(strings.Trim(fmt.Sprint(signals), "[]"), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			address, ready := freeAddress(t), freeAddress(t)
			d := startDaemon(t, "entry", "-name", fmt.Sprint("signalled-", i), "-domain", "c", "-ip", fmt.Sprintf("127.0.9.%d", 20+i),
				"-ports", fmt.Sprint(s.port), "-seeds", "127.0.9.1:1,127.0.9.2:1", "-front", address, "-ready", ready, "-grace", "4s")
			waitReady(t, "http://"+ready+"/-/readiness")
			answered := make(chan error, 1)
			go func() {
				req, err := http.NewRequest(http.MethodGet, "http://"+address+"/x/1", nil)
				if err != nil {
					answered <- err
					return
				}
				req.Host = "a.example"
				req.Header.Set("Request-Id", fmt.Sprint("signalled-", i))
				req.Header.Set("Deadline-Milliseconds", "10000")
				res, err := http.DefaultTransport.RoundTrip(req)
				if err == nil {
					_, err = io.Copy(io.Discard, res.Body)
					_ = res.Body.Close()
				}
				answered <- err
			}()
			time.Sleep(200 * time.Millisecond)
			for _, sig := range signals {
				d.signal(sig)
				time.Sleep(100 * time.Millisecond)
			}
			is.NoErr(<-answered)
			is.Equal(d.exitStatus(), 0)
		})
	}
}

// Guards against SIGHUP that ends a control host while it stops.
func TestHangupsDuringAStopOfAControlHost(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 0)
	d := startDaemon(t, "control", "-name", "signalled", "-domain", "c", "-ip", "127.0.9.30", "-ports", fmt.Sprint(s.port),
		"-seeds", "127.0.9.1:1,127.0.9.2:1", "-operator", freeAddress(t), "-folder", t.TempDir(), "-list", s.list.Listener.Addr().String())
	time.Sleep(time.Second)
	d.signal(syscall.SIGHUP)
	d.signal(syscall.SIGTERM)
	for hangups := time.NewTicker(time.Millisecond); ; {
		select {
		case <-hangups.C:
			d.signal(syscall.SIGHUP)
			continue
		case <-d.ended:
		case <-time.After(waitTimeout):
		}
		hangups.Stop()
		break
	}
	is.Equal(d.exitStatus(), 0)
}
