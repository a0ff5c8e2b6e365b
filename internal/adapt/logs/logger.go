// Package logs writes numbered events through log/slog.
package logs

import (
	"context"
	"io"
	"log/slog"

	"github.com/balsamwood/balsamwood/internal/port/meter"
)

// Option configures a Logger.
type Option func(*options)

type options struct {
	level slog.Level
	text  bool
	attrs []slog.Attr
}

// WithLevel sets the minimum level of the events that are written. Default:
// slog.LevelInfo.
func WithLevel(level slog.Level) Option { return func(op *options) { op.level = level } }

// WithText selects key=value lines instead of JSON objects. Default: JSON.
func WithText() Option { return func(op *options) { op.text = true } }

// WithAttrs adds attributes to each record, for example the VM. Default: none.
func WithAttrs(attrs ...slog.Attr) Option {
	return func(op *options) { op.attrs = append(op.attrs, attrs...) }
}

// WithSettings applies a level (debug, info, warn or error) and a format (json
// or text) as written in the settings. An unknown level is ignored, and any
// format but text selects JSON.
func WithSettings(level, format string) Option {
	return func(op *options) {
		_ = op.level.UnmarshalText([]byte(level))
		op.text = format == "text"
	}
}

// Logger writes events. Every record carries the attribute event with the
// event's number.
type Logger struct {
	out slog.Handler
	log *slog.Logger
}

// NewLogger returns a logger that writes to wr.
func NewLogger(wr io.Writer, opts ...Option) *Logger {
	var op options
	for _, opt := range opts {
		opt(&op)
	}
	ho := &slog.HandlerOptions{Level: op.level}
	var ha slog.Handler = slog.NewJSONHandler(wr, ho)
	if op.text {
		ha = slog.NewTextHandler(wr, ho)
	}
	if len(op.attrs) > 0 {
		ha = ha.WithAttrs(op.attrs)
	}
	return &Logger{out: ha, log: slog.New(ha)}
}

// Log writes the event with its attributes.
func (lo *Logger) Log(ev meter.Event, attrs ...slog.Attr) {
	ctx := context.Background()
	if !lo.out.Enabled(ctx, ev.Level) {
		return
	}
	all := make([]slog.Attr, 0, len(attrs)+1)
	all = append(all, slog.Int("event", ev.Number))
	lo.log.LogAttrs(ctx, ev.Level, ev.Text, append(all, attrs...)...)
}
