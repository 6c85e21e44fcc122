package front

import (
	"bytes"
	"slices"
	"strconv"

	"github.com/jujubethread/jujubethread/internal/pipe"
)

// recordSize is the size of one record in bytes.
const recordSize = 16

// merge returns the greatest records of all parts, the greatest first. A
// remainder shorter than a record is none.
func merge(parts []pipe.Outcome, top int) []byte {
	var all [][]byte
	for _, p := range parts {
		for b := p.Body; len(b) >= recordSize; b = b[recordSize:] {
			all = append(all, b[:recordSize])
		}
	}
	slices.SortFunc(all, func(x, y []byte) int { return bytes.Compare(y, x) })
	return slices.Concat(all[:min(max(0, top), len(all))]...)
}

func itoa(n int) string { return strconv.Itoa(n) }

func contentLength(n int) string { return "Content-Length: " + strconv.Itoa(n) + "\r\n" }
