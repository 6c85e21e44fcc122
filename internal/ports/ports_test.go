package ports_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/jujubethread/jujubethread/internal/ports"
)

// Guards against two processes of one deployment that get the same port because
// neither listens on it yet.
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
