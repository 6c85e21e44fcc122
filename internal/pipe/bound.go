package pipe

import (
	"io"
	"strings"

	"github.com/pkg/errors"

	"github.com/jujubethread/jujubethread/internal/bound"
)

// readBody reads a body of at most MaxAnswer bytes.
func (p *Pool) readBody(from io.Reader) ([]byte, error) {
	m := p.budget.Message(from)
	defer m.Done()
	body, err := io.ReadAll(io.LimitReader(m, MaxAnswer+1))
	switch {
	case len(body) > MaxAnswer:
		return nil, errors.Wrapf(bound.ErrEndless, "its body exceeds %d bytes", MaxAnswer)
	case err != nil && strings.Contains(err.Error(), "trailer"):
		// net/http has no typed error for trailers that exceed its buffer.
		return nil, errors.Wrap(bound.ErrEndless, err.Error())
	}
	return body, err
}
