// Package story reads log files of the daemons and prints what happened to one
// request on all hosts, together with the state that each of them had logged
// before.
package story

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const maxLineBytes = 1 << 20

// stateMessages are the log messages that report a change of a host's state.
var stateMessages = map[string]bool{
	"configuration is in force":           true,
	"list of upstreams is in use":         true,
	"evacuated domains are in force":      true,
	"evacuated domains were received":     true,
	"suspicion against a request changed": true,
	"limit of an upstream changed":        true,
	"departure of an upstream changed":    true,
	"upstream asks for a pause":           true,
	"slow start of an upstream changed":   true,
	"control host is unreachable":         true,
	"control host is reachable again":     true,
	"control host changed":                true,
	"age of the configuration changed":    true,
	"configuration was received":          true,
	"update source changed":               true,
	"gatherer changed":                    true,
	"gatherer is unreachable":             true,
	"contact with other domains changed":  true,
	"host count changed":                  true,
	"readiness changed":                   true,
	"leader changed":                      true,
	"group membership changes":            true,
	"entry host starts":                   true,
	"entry host drains":                   true,
	"control host starts":                 true,
}

// Line is one line of a log.
type Line struct {
	At      time.Time
	Host    string
	Message string
	Request string
	Text    string
}

// Log is a set of lines in order of time, collected from any number of hosts.
type Log struct {
	Lines []Line
	// Skipped counts lines that are not JSON objects with a time and a message.
	Skipped int
}

// Read reads log lines. Text before the first brace of a line is ignored, since
// log collectors add a prefix.
func Read(in io.Reader) (*Log, error) {
	log := &Log{}
	scan := bufio.NewScanner(in)
	scan.Buffer(nil, maxLineBytes)
	for scan.Scan() {
		start := strings.IndexByte(scan.Text(), '{')
		if start < 0 {
			log.Skipped++
			continue
		}
		text := scan.Text()[start:]
		var l struct {
			Time    time.Time
			Host    string
			Message string
			Request string
		}
		if err := json.Unmarshal([]byte(text), &l); err != nil || l.Message == "" || l.Time.IsZero() {
			log.Skipped++
			continue
		}
		log.Lines = append(log.Lines, Line{
			At:      l.Time,
			Host:    l.Host,
			Message: l.Message,
			Request: l.Request,
			Text:    text,
		})
	}
	slices.SortStableFunc(log.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	return log, errors.Wrap(scan.Err(), "log cannot be read: split lines over 1 MiB")
}

// Request writes the lines of one request from all hosts. Before them it writes
// the latest state messages of the hosts that took part, up to the request's
// last line.
func (l *Log) Request(out io.Writer, id string) error {
	var requestLines []Line
	hosts := make(map[string]bool)
	for _, line := range l.Lines {
		if line.Request == id {
			requestLines = append(requestLines, line)
			hosts[line.Host] = true
		}
	}
	if len(requestLines) == 0 {
		return errors.Errorf("no log line names request %s: complete answers in time are logged for one id in 64 only; check the id and the log files of all hosts", id)
	}
	latest := make(map[string]Line)
	for _, line := range l.Lines {
		if line.At.After(requestLines[len(requestLines)-1].At) {
			break
		}
		if hosts[line.Host] && stateMessages[line.Message] {
			latest[line.Host+"\x00"+line.Message] = line
		}
	}
	states := make([]Line, 0, len(latest))
	for _, line := range latest {
		states = append(states, line)
	}
	slices.SortFunc(states, func(a, b Line) int { return a.At.Compare(b.At) })
	end := requestLines[len(requestLines)-1].At
	for _, line := range states {
		if _, err := fmt.Fprintf(out, "believed for %s by %s: %s\n", end.Sub(line.At).Round(time.Millisecond), line.Host, line.Text); err != nil {
			return errors.Wrap(err, "output cannot be written: check that standard output is open")
		}
	}
	for _, line := range requestLines {
		if _, err := fmt.Fprintf(out, "%s %s: %s\n", line.At.Format("15:04:05.000"), line.Host, line.Text); err != nil {
			return errors.Wrap(err, "output cannot be written: check that standard output is open")
		}
	}
	return nil
}

// Window writes the state messages of all hosts between two times.
func (l *Log) Window(out io.Writer, from, to time.Time) error {
	for _, line := range l.Lines {
		if line.At.Before(from) || line.At.After(to) || !stateMessages[line.Message] {
			continue
		}
		if _, err := fmt.Fprintf(out, "%s %s: %s\n", line.At.Format("15:04:05.000"), line.Host, line.Text); err != nil {
			return errors.Wrap(err, "output cannot be written: check that standard output is open")
		}
	}
	return nil
}
