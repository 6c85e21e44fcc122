// Package story reads log files of the daemons and prints what happened to one
// request on all hosts, with what each of them believed then.
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

// maxLine bounds one log line in bytes.
const maxLine = 1 << 20

// beliefs are the messages that tell what a host believes from then on.
var beliefs = map[string]bool{
	"configuration is in force":          true,
	"list of upstreams is in use":        true,
	"control host is unreachable":        true,
	"control host is reachable again":    true,
	"gatherer changed":                   true,
	"gatherer is unreachable":            true,
	"contact with other domains changed": true,
	"host count changed":                 true,
	"readiness changed":                  true,
	"leader changed":                     true,
	"group membership changes":           true,
	"entry host starts":                  true,
	"entry host drains":                  true,
	"control host starts":                true,
}

// Line is one line of a log.
type Line struct {
	At      time.Time
	Host    string
	Message string
	Request string
	Text    string
}

// Log is a set of lines in order of time.
type Log struct {
	Lines []Line
	// Skipped counts lines that are no JSON objects with a time and a message.
	Skipped int
}

// Read reads lines. What precedes the first brace of a line is left out, so
// that collected logs with a prefix can be read.
func Read(in io.Reader) (*Log, error) {
	log := &Log{}
	scan := bufio.NewScanner(in)
	scan.Buffer(nil, maxLine)
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
	return log, errors.Wrap(scan.Err(), "the log cannot be read: split lines over 1 MiB")
}

// Request writes the story of one request: its lines on all hosts, and before
// them the last belief of each kind of the hosts that took part.
func (l *Log) Request(out io.Writer, id string) error {
	var own []Line
	hosts := make(map[string]bool)
	for _, line := range l.Lines {
		if line.Request == id {
			own = append(own, line)
			hosts[line.Host] = true
		}
	}
	if len(own) == 0 {
		return errors.Errorf("no line names request %s: timely whole answers are logged for one id in 64 only; check the id and the hosts' files", id)
	}
	last := make(map[string]Line)
	for _, line := range l.Lines {
		if line.At.After(own[len(own)-1].At) {
			break
		}
		if hosts[line.Host] && beliefs[line.Message] {
			last[line.Host+"\x00"+line.Message] = line
		}
	}
	known := make([]Line, 0, len(last))
	for _, line := range last {
		known = append(known, line)
	}
	slices.SortFunc(known, func(a, b Line) int { return a.At.Compare(b.At) })
	end := own[len(own)-1].At
	for _, line := range known {
		if _, err := fmt.Fprintf(out, "believed for %s by %s: %s\n", end.Sub(line.At).Round(time.Millisecond), line.Host, line.Text); err != nil {
			return errors.Wrap(err, "the story cannot be written")
		}
	}
	for _, line := range own {
		if _, err := fmt.Fprintf(out, "%s %s: %s\n", line.At.Format("15:04:05.000"), line.Host, line.Text); err != nil {
			return errors.Wrap(err, "the story cannot be written")
		}
	}
	return nil
}

// Window writes the changes of belief of all hosts between two times.
func (l *Log) Window(out io.Writer, from, to time.Time) error {
	for _, line := range l.Lines {
		if line.At.Before(from) || line.At.After(to) || !beliefs[line.Message] {
			continue
		}
		if _, err := fmt.Fprintf(out, "%s %s: %s\n", line.At.Format("15:04:05.000"), line.Host, line.Text); err != nil {
			return errors.Wrap(err, "the story cannot be written")
		}
	}
	return nil
}
