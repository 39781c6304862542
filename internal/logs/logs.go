// Package logs creates the loggers of a process. The lines of one component carry
// its name as a prefix of the message.
package logs

import (
	"context"
	"fmt"
	"io"
	"log/slog"
)

// New returns a logger that writes lines of at least level to w. The level is
// debug, info, warn or error. The format json writes JSON lines; any other format
// writes text.
func New(w io.Writer, level, format string) (*slog.Logger, error) {
	var minLevel slog.Level
	if err := minLevel.UnmarshalText([]byte(level)); err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	options := &slog.HandlerOptions{Level: minLevel}
	if format == "json" {
		return slog.New(slog.NewJSONHandler(w, options)), nil
	}
	return slog.New(slog.NewTextHandler(w, options)), nil
}

// WithPrefix returns the logger of one component of the process. It puts the name
// of the component before each message, such as "ingress: request placed".
func WithPrefix(l *slog.Logger, name string) *slog.Logger {
	return slog.New(prefixed{Handler: l.Handler(), prefix: name + ": "})
}

// prefixed is a handler that puts a prefix before each message.
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
