package board

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
)

// maxDocumentBytes bounds an unpacked document.
const maxDocumentBytes = 16 << 20

// Pack compresses a document to about a sixth of its size, since its routes
// resemble each other.
func Pack(raw []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "document cannot be compressed")
	}
	if _, err := w.Write(raw); err != nil {
		return nil, errors.Wrap(err, "document cannot be compressed")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "document cannot be compressed")
	}
	return b.Bytes(), nil
}

// Unpack reverses Pack. It fails if the document exceeds 16 MiB.
func Unpack(packed []byte) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxDocumentBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "document cannot be unpacked: run the same release on all hosts")
	}
	if len(raw) > maxDocumentBytes {
		return nil, errors.Errorf("document is over %d bytes: send a smaller one", maxDocumentBytes)
	}
	return raw, nil
}
