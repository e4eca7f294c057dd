package cli

import (
	"io"
	"log/slog"
)

// logTo sends log lines to w as key=value text: time, level, event, and the event's own words.
func logTo(w io.Writer) {
	slog.SetDefault(slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{
		ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
			switch {
			case len(groups) > 0:
			case a.Key == slog.MessageKey:
				a.Key = "event"
			case a.Key == slog.TimeKey:
				a.Value = slog.StringValue(a.Value.Time().UTC().Format("2006-01-02T15:04:05.000000Z"))
			}
			return a
		}})))
}
