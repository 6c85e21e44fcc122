package front

import (
	"bytes"
	"slices"
	"strconv"
)

// recordSize is the size of one record in bytes.
const recordSize = 16

// merge returns the greatest records of all parts in descending order, at most
// top of them. Trailing bytes of a part that are shorter than a record are
// ignored.
func merge(r reply, top int) []byte {
	var all [][]byte
	add := func(body []byte) {
		for b := body; len(b) >= recordSize; b = b[recordSize:] {
			all = append(all, b[:recordSize])
		}
	}
	for _, o := range r.outcomes {
		add(o.Body)
	}
	for _, g := range r.groups {
		add(g.Body)
	}
	slices.SortFunc(all, func(x, y []byte) int { return bytes.Compare(y, x) })
	return slices.Concat(all[:min(max(0, top), len(all))]...)
}

func itoa(n int) string { return strconv.Itoa(n) }

func contentLength(n int) string { return "Content-Length: " + strconv.Itoa(n) + "\r\n" }
