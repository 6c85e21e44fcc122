package replay_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/jsonl"
	"github.com/jujubethread/jujubethread/internal/replay"
	"github.com/jujubethread/jujubethread/pkg/config"
	"github.com/jujubethread/jujubethread/pkg/engine"
	"github.com/jujubethread/jujubethread/pkg/ident"
	"github.com/jujubethread/jujubethread/pkg/quorum"
)

// recordLines records a real engine that runs queries, and returns the lines.
func recordLines(t *testing.T) []string {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "record")
	rec, err := replay.RecordEngine(path, engine.Config{
		Host: "h1",
		Seed: 7,
	}, nil)
	is.NoErr(err)
	state := config.NewState()
	for i := range 6 {
		state, err = state.Apply(config.AddUpstream{Upstream: config.Upstream{
			ID:        ident.Upstream(fmt.Sprint("u", i)),
			Address:   fmt.Sprint("10.0.0.", i, ":1"),
			Index:     "x",
			Service:   ident.Service(fmt.Sprint("s", i/2)),
			Shards:    []ident.Shard{ident.Shard(fmt.Sprint("s", i/2))},
			Slots:     2,
			ConnLimit: 50,
		}})
		is.NoErr(err)
	}
	now := ident.Instant(1)
	step := func(ev engine.Event) []engine.Effect {
		now = now.Add(time.Millisecond)
		return rec.Step(now, ev)
	}
	step(engine.ConfigApplied{State: state})
	step(engine.SeatChanged{Seat: engine.SeatHeld})
	for _, u := range state.Upstreams {
		step(engine.UpstreamReported{
			Upstream: u.ID,
			Health:   engine.HealthReady,
			Held: []engine.Held{{
				Shard:    u.Shards[0],
				Versions: []ident.IndexVersion{4},
			}},
		})
	}
	for q := range ident.QueryID(20) {
		for _, ef := range step(engine.QueryArrived{
			Query:   q + 1,
			Request: "r",
			Index:   "x",
		}) {
			if send, ok := ef.(engine.Send); ok {
				step(engine.AttemptAnswered{
					Attempt: send.Attempt,
					Answer: engine.Answer{
						Request:   "r",
						Attempt:   send.Attempt,
						Shard:     send.Shard,
						Version:   send.Version,
						Documents: []engine.Document{{ID: "d", Score: 0.1}},
					},
				})
			}
		}
	}
	is.NoErr(rec.Close())
	raw, err := os.ReadFile(path)
	is.NoErr(err)
	return strings.Split(strings.TrimSpace(string(raw)), "\n")
}

func runLines(lines []string) (replay.Report, error) {
	return replay.Run(strings.NewReader(strings.Join(lines, "\n")))
}

// Guards against a record that lacks an input of the engine's decisions.
func TestReplayAgreesWithTheRecord(t *testing.T) {
	is := is.New(t)
	lines := recordLines(t)
	rep, err := runLines(lines)
	is.NoErr(err)
	is.Equal(rep.Difference, nil)
	is.True(rep.Ended)
	is.Equal(rep.Events, len(lines)-2)
	is.True(strings.Contains(strings.Join(lines, ""), `"Outcome":"Done"`)) // the record has answers
	rep, err = runLines(lines[:len(lines)-1])
	var cut *replay.CutError
	is.True(errors.As(err, &cut))
	is.Equal(rep.Ended, false)
}

// Guards against an edit that is not detected because no effect depends on it,
// or because the digests were recomputed after the edit.
func TestTamperedEventIsDetected(t *testing.T) {
	is := is.New(t)
	lines := recordLines(t)
	at := len(lines) - 2
	for !strings.Contains(lines[at], `"Type":"AttemptAnswered"`) || !strings.Contains(lines[at], `"Outcome":"Done"`) {
		at--
	}
	edited := append([]string{}, lines...)
	edited[at] = strings.Replace(lines[at], `"Load":{"Running":0`, `"Load":{"Running":1`, 1)
	is.True(edited[at] != lines[at])
	rep, err := runLines(edited)
	is.NoErr(err)
	is.Equal(rep.Difference.Kind, replay.Tampered)
	is.Equal(rep.Difference.Line, at+1)

	// A record that was written again has valid digests but another decision.
	rep = replayChangedEngine(t, lines)
	is.Equal(rep.Difference.Kind, replay.Decided)
	is.Equal(rep.Difference.Expected.Type, "Reply")
	is.True(strings.Contains(rep.Difference.String(), `"Outcome":"Partial"`))
}

// replayChangedEngine replays through an engine that returns another outcome.
func replayChangedEngine(t *testing.T, lines []string) replay.Report {
	rep, err := replay.RunWith(strings.NewReader(strings.Join(lines, "\n")), replay.EngineEvents,
		func(h replay.Header) (replay.Step[engine.Event, engine.Effect], error) {
			var c engine.Config
			err := json.Unmarshal(h.Setup, &c)
			e := engine.NewEngine(c)
			return func(now ident.Instant, ev engine.Event) []engine.Effect {
				out := e.Step(now, ev)
				for i, ef := range out {
					if rep, ok := ef.(engine.Reply); ok {
						rep.Outcome = engine.Partial
						out[i] = rep
					}
				}
				return out
			}, err
		})
	is.New(t).NoErr(err)
	return rep
}

// Guards against records of another version, reducer or setup being replayed as
// if they were known.
func TestUnknownPartsAreRejectedByName(t *testing.T) {
	for _, tc := range []struct{ old, new, want string }{
		{`"Version":1`, `"Version":2`, "version 2"},
		{`"Reducer":"engine"`, `"Reducer":"brain"`, `"brain"`},
		{`"Seed":7`, `"Seed":7,"Mood":1`, `"Mood"`},
	} {
		is := is.New(t)
		lines := recordLines(t)
		lines[0] = strings.Replace(lines[0], tc.old, tc.new, 1)
		_, err := runLines(lines)
		is.True(err != nil && strings.Contains(err.Error(), tc.want))
	}
	is := is.New(t)
	type Odd struct{ engine.Ticked }
	path := filepath.Join(t.TempDir(), "record")
	rec, err := replay.NewRecorder(replay.Config{
		Path:    path,
		Reducer: replay.ReducerEngine,
		Setup:   engine.Config{},
	}, func(ident.Instant, engine.Event) []engine.Effect { return nil })
	is.NoErr(err)
	rec.Step(1, Odd{})
	is.NoErr(rec.Close())
	raw, err := os.ReadFile(path)
	is.NoErr(err)
	_, err = replay.Run(bytes.NewReader(raw))
	is.True(err != nil && strings.Contains(err.Error(), `"Odd"`))
}

// Guards against a replay that panics instead of naming the event.
func TestEventThatBreaksTheReducerIsNamed(t *testing.T) {
	is := is.New(t)
	lines := recordLines(t)
	_, err := replay.RunWith(strings.NewReader(strings.Join(lines, "\n")), replay.EngineEvents,
		func(replay.Header) (replay.Step[engine.Event, engine.Effect], error) {
			return func(ident.Instant, engine.Event) []engine.Effect { panic("no shard") }, nil
		})
	is.True(err != nil && strings.Contains(err.Error(), "line 2, event ConfigApplied: reducer failed: no shard"))
}

// Guards against a record that grows without limit, and against a reducer that
// stops because its record is full.
func TestFullRecordStopsRecordingOnly(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "record")
	var failed []error
	rec, err := replay.NewRecorder(replay.Config{
		Path:     path,
		MaxBytes: 1000,
		Reducer:  replay.ReducerEngine,
		Setup:    engine.Config{},
		Failed:   func(err error) { failed = append(failed, err) },
	}, func(ident.Instant, engine.Event) []engine.Effect { return []engine.Effect{engine.Wake{}} })
	is.NoErr(err)
	for range 100 {
		is.Equal(len(rec.Step(1, engine.Ticked{})), 1)
	}
	is.Equal(len(failed), 1)
	is.True(errors.Is(failed[0], jsonl.ErrFull))
	is.NoErr(rec.Close())
	info, err := os.Stat(path)
	is.NoErr(err)
	is.True(info.Size() <= 1000)
}

// Guards against losing the types of values in interface fields, which
// encoding/json writes without their type.
func TestSealedPartsKeepTheirType(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "record")
	echo := func(_ ident.Instant, ev quorum.Event) []quorum.Event { return []quorum.Event{ev} }
	rec, err := replay.NewRecorder(replay.Config{
		Path:    path,
		Reducer: "quorum",
	}, echo)
	is.NoErr(err)
	events := []quorum.Event{
		quorum.Receive{
			Now: 5,
			Message: quorum.Message{
				From: "a",
				Body: quorum.AppendRequest{
					PrevIndex: 3,
					Entries:   []quorum.Entry{{Data: []byte("x")}},
				},
			},
		},
		quorum.Receive{},
		quorum.ChangeMember{Change: quorum.RemoveMember{ID: "b"}},
	}
	for _, ev := range events {
		rec.Step(1, ev)
	}
	is.NoErr(rec.Close())
	raw, err := os.ReadFile(path)
	is.NoErr(err)
	var decoded []quorum.Event
	rep, err := replay.RunWith(bytes.NewReader(raw), replay.QuorumEvents, func(replay.Header) (replay.Step[quorum.Event, quorum.Event], error) {
		return func(now ident.Instant, ev quorum.Event) []quorum.Event {
			decoded = append(decoded, ev)
			return echo(now, ev)
		}, nil
	})
	is.NoErr(err)
	is.Equal(rep.Difference, nil)
	is.Equal(decoded, events)
	codec := replay.NewCodec[quorum.Event](quorum.Receive{}, quorum.ChangeMember{}).WithVariants(quorum.AppendRequest{})
	_, err = replay.RunWith(bytes.NewReader(raw), codec, func(replay.Header) (replay.Step[quorum.Event, quorum.Event], error) { return echo, nil })
	is.True(err != nil && strings.Contains(err.Error(), `"RemoveMember"`)) // unknown to this codec
}

// Guards against file contents that make a replay panic.
func FuzzRun(f *testing.F) {
	f.Add([]byte(`{"Format":"jujubethread-audit","Version":1,"Reducer":"engine","Setup":{}}` + "\n" +
		`{"At":1,"Type":"Ticked","Event":{},"Effects":[],"Digest":"0"}`))
	f.Fuzz(func(_ *testing.T, raw []byte) {
		_, _ = replay.Run(bytes.NewReader(raw))
	})
}
