package gwtelemetry

import (
	"io"
	"log/slog"
)

// Keys of log attributes.
const (
	KeyInstance = "instance"
	KeyGroup    = "group"
	KeyClass    = "class"
	KeyTerm     = "term"
)

// NewLogger returns a logger that writes JSON lines with the attribute KeyInstance.
func NewLogger(w io.Writer, level slog.Leveler, instance string) *slog.Logger {
	h := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	return slog.New(h).With(KeyInstance, instance)
}

// Group returns the log attribute of a group of backend servers.
func Group(name string) slog.Attr { return slog.String(KeyGroup, name) }

// Class returns the log attribute of a class.
func Class(name string) slog.Attr { return slog.String(KeyClass, name) }

// Term returns the log attribute of a term.
func Term(term uint64) slog.Attr { return slog.Uint64(KeyTerm, term) }
