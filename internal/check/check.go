// Package check validates documents that people write, such as settings. It
// collects all problems of a document, so that its author sees them at once.
package check

import (
	"fmt"
	"net"
	"net/url"
	"strings"
	"time"
)

// Problem describes one invalid value of a document.
type Problem struct {
	// Path is the JSON path of the value, such as "caller.max_body_bytes".
	Path string `json:"path"`
	// Value is the invalid value, as a Go literal.
	Value string `json:"value"`
	// Want describes the values that are valid.
	Want string `json:"want"`
}

// String formats the problem as one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s is wrong: want %s", p.Path, p.Value, p.Want)
}

// List collects the problems of a document. The zero value is ready to use. Add
// records a problem; Positive and the other checks record one unless the value at the
// JSON path is valid.
type List struct{ Problems []Problem }

// Add records a problem of the value at path. want describes the values that are
// valid.
func (l *List) Add(path string, value any, want string) {
	l.Problems = append(l.Problems, Problem{Path: path, Value: fmt.Sprintf("%#v", value), Want: want})
}

// Positive requires value > 0.
func (l *List) Positive(path string, value int64) {
	if value <= 0 {
		l.Add(path, value, "a number above 0")
	}
}

// Duration requires value to lie between low and high, both included.
func (l *List) Duration(path string, value, low, high time.Duration) {
	if value < low || value > high {
		l.Add(path, value.String(), fmt.Sprintf("a duration from %s to %s", low, high))
	}
}

// Required requires value to have a character that is not white space.
func (l *List) Required(path, value string) {
	if strings.TrimSpace(value) == "" {
		l.Add(path, value, "a non-empty string")
	}
}

// Listen requires value to be a listen address host:port, with an IP address as
// the host. Host names are refused.
func (l *List) Listen(path, value string) {
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		l.Add(path, value, `an address such as "127.0.0.1:8080"`)
	}
}

// URL requires value to be an absolute http or https URL.
func (l *List) URL(path, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		l.Add(path, value, `a URL such as "http://127.0.0.1:9000"`)
	}
}

// Share requires 0 <= value <= 1. NaN is refused.
func (l *List) Share(path string, value float64) {
	if !(value >= 0 && value <= 1) {
		l.Add(path, value, "a share from 0 to 1")
	}
}

// OneOf requires value to be one of allowed.
func (l *List) OneOf(path, value string, allowed ...string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	l.Add(path, value, "one of "+strings.Join(allowed, ", "))
}

// Err returns an *Error with all problems, or nil if there are none.
func (l *List) Err() error {
	if len(l.Problems) == 0 {
		return nil
	}
	return &Error{Problems: l.Problems}
}

// Error is the error of a document that has problems.
type Error struct{ Problems []Problem }

// Error formats the problems, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}
