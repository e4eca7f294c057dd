package cli

import (
	"io"
	"log/slog"
)

// timeFormat is RFC 3339 with microseconds, for times in UTC.
const timeFormat = "2006-01-02T15:04:05.000000Z"

// logTo makes the default logger write lines of key=value pairs to w: time, level, event, and the event's own keys.
func logTo(w io.Writer) {
	slog.SetDefault(slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{ReplaceAttr: replaceAttr})))
}

// replaceAttr renames the key of the message to event and formats the time in UTC.
func replaceAttr(groups []string, a slog.Attr) slog.Attr {
	if len(groups) > 0 {
		return a
	}
	switch a.Key {
	case slog.MessageKey:
		a.Key = "event"
	case slog.TimeKey:
		a.Value = slog.StringValue(a.Value.Time().UTC().Format(timeFormat))
	}
	return a
}
