// Package logs sets up structured logging: JSON lines with the host and its
// failure domain, in which repeated warnings are limited.
package logs

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/pkg/ident"
)

const (
	// repeatInterval is the time in which a warning is written once.
	repeatInterval = 10 * time.Second

	// maxRepeats bounds the messages that are remembered. Messages are
	// constants of the program, so there are fewer.
	maxRepeats = 256
)

// Config sets up a logger.
type Config struct {
	Host   ident.HostID
	Domain ident.Domain
	// Level is debug, info, warn or error. Empty means info.
	Level string
	// Interval is the time in which a repeated warning is written once. Zero
	// means 10 s.
	Interval time.Duration
}

// New returns a logger that writes to w.
func New(w io.Writer, c Config) (*slog.Logger, error) {
	level := slog.LevelInfo
	if c.Level != "" {
		if err := level.UnmarshalText([]byte(c.Level)); err != nil {
			return nil, errors.Wrapf(err, "log level %q does not exist: use debug, info, warn or error", c.Level)
		}
	}
	if c.Interval == 0 {
		c.Interval = repeatInterval
	}
	out := slog.NewJSONHandler(w, &slog.HandlerOptions{
		Level:       level,
		ReplaceAttr: pascal,
	})
	limited := &limiter{
		next: out,
		seen: &seen{
			interval: c.Interval,
			last:     make(map[string]*repeat),
		},
	}
	return slog.New(limited).With("Host", string(c.Host), "Domain", string(c.Domain)), nil
}

// pascal names the built-in keys as the project's other documents do.
func pascal(groups []string, a slog.Attr) slog.Attr {
	if len(groups) > 0 {
		return a
	}
	switch a.Key {
	case slog.TimeKey:
		a.Key = "Time"
	case slog.LevelKey:
		a.Key = "Level"
	case slog.MessageKey:
		a.Key = "Message"
	}
	return a
}

// limiter writes a warning or error once in an interval. The next one that is
// written states how many were left out.
type limiter struct {
	next slog.Handler
	seen *seen
}

type seen struct {
	interval time.Duration

	mu   sync.Mutex
	last map[string]*repeat
}

type repeat struct {
	at      time.Time
	skipped int
}

// Enabled implements slog.Handler.
func (l *limiter) Enabled(ctx context.Context, level slog.Level) bool {
	return l.next.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (l *limiter) Handle(ctx context.Context, r slog.Record) error {
	if r.Level < slog.LevelWarn {
		return l.next.Handle(ctx, r)
	}
	skipped, write := l.seen.pass(r.Message, r.Time)
	if !write {
		return nil
	}
	if skipped > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int("Skipped", skipped))
	}
	return l.next.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (l *limiter) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limiter{
		next: l.next.WithAttrs(attrs),
		seen: l.seen,
	}
}

// WithGroup implements slog.Handler.
func (l *limiter) WithGroup(name string) slog.Handler {
	return &limiter{
		next: l.next.WithGroup(name),
		seen: l.seen,
	}
}

// pass reports whether a message may be written and how many were left out.
func (s *seen) pass(message string, at time.Time) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rep := s.last[message]
	if rep == nil {
		if len(s.last) >= maxRepeats {
			clear(s.last)
		}
		s.last[message] = &repeat{at: at}
		return 0, true
	}
	if at.Sub(rep.at) < s.interval {
		rep.skipped++
		return 0, false
	}
	skipped := rep.skipped
	*rep = repeat{at: at}
	return skipped, true
}
