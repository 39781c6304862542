// Package sse reads streams of server-sent events, of which the engines' use
// only the data field.
package sse

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
)

// Reader reads the events of a stream.
type Reader struct {
	lines *bufio.Scanner
	data  bytes.Buffer
}

// NewReader returns a reader of r whose events hold at most maxBytes a line.
func NewReader(r io.Reader, maxBytes int) *Reader {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, min(4096, maxBytes)), maxBytes)
	return &Reader{lines: lines}
}

// Next returns the data of the next event, valid until the next call. It
// returns io.EOF at the clean end of the stream.
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
			r.addLine(bytes.TrimPrefix(data, []byte(" ")))
		}
	}
	if err := r.lines.Err(); err != nil {
		return nil, fmt.Errorf("read event: %w", err)
	}
	return nil, io.EOF
}

// addLine appends one data line; lines of one event are joined by newlines.
func (r *Reader) addLine(line []byte) {
	if r.data.Len() > 0 {
		r.data.WriteByte('\n')
	}
	r.data.Write(line)
}
