package bound_test

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/bound"
)

func TestBudgetIsShared(t *testing.T) {
	is := is.New(t)
	b := &bound.Budget{Max: 100}
	large := strings.Repeat("x", bound.FreeBytes+80)
	first := b.Message(strings.NewReader(large))
	_, err := io.ReadAll(first)
	is.NoErr(err)
	second := b.Message(strings.NewReader(large))
	_, err = io.ReadAll(second)
	is.True(errors.Is(err, bound.ErrEndless))
	small := b.Message(strings.NewReader(large[:bound.FreeBytes]))
	_, err = io.ReadAll(small)
	is.NoErr(err) // ordinary messages are read all the same
	first.Done()
	second.Done()
	third := b.Message(strings.NewReader(large))
	_, err = io.ReadAll(third)
	is.NoErr(err)
}

func TestReaderStopsAtItsBound(t *testing.T) {
	is := is.New(t)
	r := &bound.Reader{
		From: bytes.NewReader(make([]byte, 100)),
		Left: 10,
	}
	got, err := io.ReadAll(r)
	is.Equal(len(got), 10)
	is.True(errors.Is(err, bound.ErrEndless))
	is.True(r.Exceeded)
	r.Left = 90
	got, err = io.ReadAll(r)
	is.Equal(len(got), 90)
	is.True(err != nil)
}
