package logs_test

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/logs"
)

// Guards against blocking the process when the reader of standard output stops
// reading.
func TestQueueNeverBlocks(t *testing.T) {
	is := is.New(t)
	r, w := io.Pipe()
	q := logs.NewQueue(w)
	begin := time.Now()
	for range 20_000 {
		_, err := q.Write([]byte("line\n"))
		is.NoErr(err)
	}
	is.True(time.Since(begin) < 2*time.Second)
	is.True(q.Dropped() > 10_000)
	is.NoErr(r.Close())
	q.Close(time.Second)
}

// Guards against dropped lines whose number is not logged.
func TestQueueStatesDroppedLines(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	q := logs.NewQueue(&out)
	for range 5000 {
		_, _ = q.Write([]byte("line\n"))
	}
	<-time.After(20 * time.Millisecond)
	_, _ = q.Write([]byte("last\n"))
	q.Close(time.Second)
	is.True(strings.Contains(out.String(), "log lines were dropped"))
}

func BenchmarkLine(b *testing.B) {
	q := logs.NewQueue(io.Discard)
	log, err := logs.New(q, logs.Config{
		Host:   "h",
		Domain: "d",
	})
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		log.Info("query ends", "Request", "9c41d07be2a35f68", "Version", 7, "Outcome", "Merged", "Missing", 1)
	}
	q.Close(time.Second)
}

// Guards against a process that panics at the end of its planned stop, since a
// goroutine that is still ending logs after the queue was closed.
func TestLineAfterCloseIsDropped(t *testing.T) {
	is := is.New(t)
	q := logs.NewQueue(io.Discard)
	var writers sync.WaitGroup
	for range 4 {
		writers.Go(func() {
			for range 100 {
				_, err := q.Write([]byte("line\n"))
				is.NoErr(err)
			}
		})
	}
	q.Close(time.Second)
	writers.Wait()
	_, err := q.Write([]byte("line\n"))
	is.NoErr(err)
	is.True(q.Dropped() > 0)
}
