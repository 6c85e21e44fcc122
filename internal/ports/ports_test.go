package ports_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/ports"
)

// Guards against two processes of one deployment that are given the same port
// before either listens on it.
func TestNoAddressIsGivenTwice(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	for range 2000 {
		address, err := ports.Free()
		is.NoErr(err)
		is.True(!seen[address])
		seen[address] = true
	}
}
