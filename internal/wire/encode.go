package wire

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
)

// Encode returns the JSON form of a body of this package.
func Encode(body any) ([]byte, error) {
	b, err := json.Marshal(body)
	return b, errors.Wrapf(err, "body of type %T cannot be encoded", body)
}

// Reply writes a body with its status and length. It returns an error if the
// body cannot be encoded or the connection has failed.
func Reply(w http.ResponseWriter, status int, body any) error {
	buf := buffers.Get().(*bytes.Buffer)
	defer putBuffer(buf)
	buf.Reset()
	if err := json.NewEncoder(buf).Encode(body); err != nil {
		http.Error(w, "answer could not be encoded: report this", http.StatusInternalServerError)
		return errors.Wrapf(err, "body of type %T cannot be encoded", body)
	}
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(buf.Len()))
	w.WriteHeader(status)
	_, err := w.Write(buf.Bytes())
	return errors.Wrap(err, "answer could not be sent")
}
