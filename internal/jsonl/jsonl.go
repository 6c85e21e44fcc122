// Package jsonl writes and reads files of JSON lines whose size is bounded.
package jsonl

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"os"

	"github.com/pkg/errors"
)

const (
	defaultMaxBytes = 64 << 20
	writeBuffer     = 64 << 10 // bytes

	// MaxLine bounds one line of a file that is read, in bytes.
	MaxLine = 16 << 20

	filePerm = 0o600
)

// ErrFull tells that a file that does not rotate has reached its bound.
var ErrFull = errors.New("file has reached its bound: raise the bound or start a new file")

// Config sets up a Writer.
type Config struct {
	Path string
	// MaxBytes bounds each file. Zero means 64 MiB.
	MaxBytes int64
	// Rotate keeps one earlier file, named Path with ".1" added, and goes on in
	// a new one at the bound. Without it Write returns ErrFull.
	Rotate bool
}

// Writer appends lines to a new file. It is used by one goroutine at a time.
type Writer struct {
	config Config
	file   *os.File
	buf    *bufio.Writer
	size   int64
}

// Create starts a file in place of one of the same name.
func Create(c Config) (*Writer, error) {
	if c.MaxBytes == 0 {
		c.MaxBytes = defaultMaxBytes
	}
	w := &Writer{config: c}
	return w, w.open()
}

func (w *Writer) open() error {
	f, err := os.OpenFile(w.config.Path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, filePerm)
	if err != nil {
		return errors.Wrap(err, "file of JSON lines cannot be created: name a writable folder")
	}
	w.file, w.size = f, 0
	w.buf = bufio.NewWriterSize(f, writeBuffer)
	return nil
}

// Write appends v as one line.
func (w *Writer) Write(v any) error {
	line, err := json.Marshal(v)
	if err != nil {
		return errors.Wrapf(err, "line of type %T cannot be encoded", v)
	}
	line = append(line, '\n')
	if w.size+int64(len(line)) > w.config.MaxBytes {
		if !w.config.Rotate || w.size == 0 {
			return ErrFull
		}
		if err := w.rotate(); err != nil {
			return err
		}
	}
	w.size += int64(len(line))
	_, err = w.buf.Write(line)
	return errors.Wrap(err, "line cannot be written: free space on the disk")
}

func (w *Writer) rotate() error {
	if err := w.Close(); err != nil {
		return err
	}
	if err := os.Rename(w.config.Path, w.config.Path+".1"); err != nil {
		return errors.Wrap(err, "full file cannot be renamed: make its folder writable")
	}
	return w.open()
}

// Flush hands buffered lines to the operating system.
func (w *Writer) Flush() error {
	return errors.Wrap(w.buf.Flush(), "lines cannot be written: free space on the disk")
}

// Close flushes and closes the file.
func (w *Writer) Close() error {
	err := w.Flush()
	if cerr := w.file.Close(); err == nil {
		err = errors.Wrap(cerr, "file of JSON lines cannot be closed")
	}
	return err
}

// Reader reads lines and counts them.
type Reader struct {
	scan *bufio.Scanner
	line int
}

// NewReader returns a reader of the lines of r.
func NewReader(r io.Reader) *Reader {
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, MaxLine)
	return &Reader{scan: scan}
}

// Line returns the number of the last line read, from 1.
func (r *Reader) Line() int { return r.line }

// Read decodes the next line into v and rejects unknown fields by name. It
// returns io.EOF after the last line.
func (r *Reader) Read(v any) error {
	if !r.scan.Scan() {
		if err := r.scan.Err(); err != nil {
			return errors.Wrapf(err, "line %d cannot be read: record the file again", r.line+1)
		}
		return io.EOF
	}
	r.line++
	return errors.Wrapf(Decode(r.scan.Bytes(), v), "line %d", r.line)
}

// Decode decodes one JSON value and rejects unknown fields by name.
func Decode(raw []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return errors.Wrap(err, "cannot be decoded: use the version that wrote it")
	}
	if _, err := dec.Token(); err != io.EOF {
		return errors.New("has data after its JSON value: remove it")
	}
	return nil
}
