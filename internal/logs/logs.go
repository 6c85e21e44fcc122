// Package logs sets up structured logging: JSON lines that name the host and its
// failure domain, with a rate limit on repeated warnings.
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
	// repeatInterval is the default of Config.Interval.
	repeatInterval = 10 * time.Second

	// maxMessages limits the messages whose last line is remembered. Messages
	// are constants of the program, so there are fewer in practice.
	maxMessages = 256
)

// Config sets up a logger.
type Config struct {
	Host   ident.HostID
	Domain ident.Domain
	// Level is debug, info, warn or error. Empty means info.
	Level string
	// Interval is the time in which a warning or error with the same message is
	// written at most once. Zero means 10 s.
	Interval time.Duration
}

// New returns a logger that writes to w. It returns an error if the level does
// not exist.
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
		ReplaceAttr: renameKeys,
	})
	limited := &limiter{
		next: out,
		suppressor: &suppressor{
			interval: c.Interval,
			states:   make(map[string]*messageState),
		},
	}
	return slog.New(limited).With("Host", string(c.Host), "Domain", string(c.Domain)), nil
}

// renameKeys renames the built-in keys of slog to PascalCase, as in the project's
// JSON documents.
func renameKeys(groups []string, a slog.Attr) slog.Attr {
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

// limiter writes warnings and errors with the same message at most once in an
// interval. The next line written for the message has the number of suppressed
// ones as Skipped.
type limiter struct {
	next       slog.Handler
	suppressor *suppressor
}

// suppressor remembers by message when a line was last written. Loggers made by
// With share it.
type suppressor struct {
	interval time.Duration

	mu     sync.Mutex
	states map[string]*messageState
}

type messageState struct {
	written time.Time
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
	skipped, ok := l.suppressor.allow(r.Message, r.Time)
	if !ok {
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
		next:       l.next.WithAttrs(attrs),
		suppressor: l.suppressor,
	}
}

// WithGroup implements slog.Handler.
func (l *limiter) WithGroup(name string) slog.Handler {
	return &limiter{
		next:       l.next.WithGroup(name),
		suppressor: l.suppressor,
	}
}

// allow reports whether a line with the message may be written at the given
// time, and if so, how many were suppressed since the last one.
func (s *suppressor) allow(message string, at time.Time) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.states[message]
	if state == nil {
		if len(s.states) >= maxMessages {
			clear(s.states)
		}
		s.states[message] = &messageState{written: at}
		return 0, true
	}
	if at.Sub(state.written) < s.interval {
		state.skipped++
		return 0, false
	}
	skipped := state.skipped
	*state = messageState{written: at}
	return skipped, true
}
