// Package sse reads streams of server-sent events. It supports only the data field,
// since the streams of model engines use no other.
package sse

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// Reader reads the events of a stream. It is not safe for concurrent use.
type Reader struct {
	lines    *bufio.Scanner
	data     bytes.Buffer
	maxBytes int
}

// NewReader returns a reader of the stream r, in which a line, and the data of an event,
// may have at most maxBytes bytes.
func NewReader(r io.Reader, maxBytes int) *Reader {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, min(4096, maxBytes)), maxBytes)
	return &Reader{lines: lines, maxBytes: maxBytes}
}

// ErrTooLong: the lines of one event have too much data.
var ErrTooLong = errors.New("event too long")

// Next returns the data of the next event, which is valid until the next call. At
// the end of the stream it returns io.EOF; an incomplete last event is dropped.
// Other errors are read errors, a line that is too long, or ErrTooLong.
func (r *Reader) Next() ([]byte, error) {
	r.data.Reset()
	for r.lines.Scan() {
		line := r.lines.Bytes()
		if len(line) == 0 {
			if r.data.Len() > 0 {
				return r.data.Bytes(), nil
			}
			continue
		}
		if data, found := bytes.CutPrefix(line, []byte("data:")); found {
			data = bytes.TrimPrefix(data, []byte(" "))
			if r.data.Len()+len(data) > r.maxBytes {
				return nil, fmt.Errorf("read event: %w: over %d bytes", ErrTooLong, r.maxBytes)
			}
			r.addLine(data)
		}
	}
	if err := r.lines.Err(); err != nil {
		return nil, fmt.Errorf("read event: %w", err)
	}
	return nil, io.EOF
}

// addLine appends a data line to the current event. Lines of one event are joined
// by newlines.
func (r *Reader) addLine(line []byte) {
	if r.data.Len() > 0 {
		r.data.WriteByte('\n')
	}
	r.data.Write(line)
}
