// Package jsonl writes and reads files of JSON lines with a limit on their size.
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
	defaultMaxBytes  = 64 << 20
	writeBufferBytes = 64 << 10

	// MaxLineBytes is the size in bytes of the longest line that a Reader accepts.
	MaxLineBytes = 16 << 20

	filePerm = 0o600
)

// ErrFull is returned by Write if the line would make the file longer than
// MaxBytes, and Rotate is not set or the file is empty.
var ErrFull = errors.New("file has reached its size limit: raise the limit or start a new file")

// Config sets up a Writer.
type Config struct {
	Path string
	// MaxBytes limits each file. Zero means 64 MiB.
	MaxBytes int64
	// Rotate makes Write rename a full file to Path with ".1" added, replacing
	// an earlier one, and continue in a new file. Without it Write returns
	// ErrFull.
	Rotate bool
}

// Writer appends lines to a new file. It is not safe for concurrent use.
type Writer struct {
	config Config
	file   *os.File
	buf    *bufio.Writer
	size   int64
}

// Create creates the file, or truncates an existing one.
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
	w.buf = bufio.NewWriterSize(f, writeBufferBytes)
	return nil
}

// Write appends v as one line to the buffer, which Flush and Close write out.
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

// Flush writes buffered lines to the operating system; it does not sync them.
func (w *Writer) Flush() error {
	return errors.Wrap(w.buf.Flush(), "lines cannot be written: free space on the disk")
}

// Close flushes and closes the file.
func (w *Writer) Close() error {
	err := w.Flush()
	if closeErr := w.file.Close(); err == nil {
		err = errors.Wrap(closeErr, "file of JSON lines cannot be closed")
	}
	return err
}

// Reader decodes the lines of a file and counts them.
type Reader struct {
	scanner *bufio.Scanner
	line    int
}

// NewReader returns a reader of the lines of r.
func NewReader(r io.Reader) *Reader {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, MaxLineBytes)
	return &Reader{scanner: scanner}
}

// Line returns the number of the last line read, counted from 1.
func (r *Reader) Line() int { return r.line }

// Read decodes the next line into v and rejects unknown fields by name. It
// returns io.EOF after the last line.
func (r *Reader) Read(v any) error {
	if !r.scanner.Scan() {
		if err := r.scanner.Err(); err != nil {
			return errors.Wrapf(err, "line %d cannot be read: record the file again", r.line+1)
		}
		return io.EOF
	}
	r.line++
	return errors.Wrapf(Decode(r.scanner.Bytes(), v), "line %d", r.line)
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
