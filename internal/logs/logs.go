// Package logs makes the loggers of a process. Lines of one part carry its
// name as a fixed prefix.
package logs

import (
	"context"
	"fmt"
	"io"
	"log/slog"
)

// New returns a logger that writes lines of at least level in format, which
// is text or json, to w.
func New(w io.Writer, level, format string) (*slog.Logger, error) {
	var least slog.Level
	if err := least.UnmarshalText([]byte(level)); err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	options := &slog.HandlerOptions{Level: least}
	if format == "json" {
		return slog.New(slog.NewJSONHandler(w, options)), nil
	}
	return slog.New(slog.NewTextHandler(w, options)), nil
}

// Part returns the logger of one part of the process.
func WithPrefix(l *slog.Logger, name string) *slog.Logger {
	return slog.New(prefixed{Handler: l.Handler(), prefix: name + ": "})
}

// prefixed puts a prefix before each message.
type prefixed struct {
	slog.Handler
	prefix string
}

// Handle implements slog.Handler.
func (h prefixed) Handle(ctx context.Context, record slog.Record) error {
	record.Message = h.prefix + record.Message
	return h.Handler.Handle(ctx, record)
}

// WithAttrs implements slog.Handler.
func (h prefixed) WithAttrs(attrs []slog.Attr) slog.Handler {
	return prefixed{Handler: h.Handler.WithAttrs(attrs), prefix: h.prefix}
}

// WithGroup implements slog.Handler.
func (h prefixed) WithGroup(name string) slog.Handler {
	return prefixed{Handler: h.Handler.WithGroup(name), prefix: h.prefix}
}
