package gwtelemetry

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"
)

// maxLogLine bounds one line of a log, in bytes.
const (
	maxLogLine      = 1 << 20
	readBufferBytes = 64 << 10
)

// Line is one line of a log.
type Line struct {
	Time     time.Time
	Instance string
	Message  string
	// Fields are the other attributes in the form name=value, ordered by name. Names and values with
	// other than printable characters are quoted.
	Fields []string
}

// String formats the line for people.
func (l Line) String() string {
	return fmt.Sprintf("%s %s: %s %s", l.Time.Format("15:04:05.000"), printable(l.Instance), printable(l.Message), strings.Join(l.Fields, " "))
}

// printable returns s, quoted if it has other than printable characters, as it may be a text of a
// caller or server.
func printable(s string) string {
	if strings.ContainsFunc(s, func(r rune) bool { return !unicode.IsPrint(r) }) {
		return strconv.Quote(s)
	}
	return s
}

// Explain returns the log lines about the request with the id, and the lines about its
// group that are not about any request and were written up to window earlier. The latter
// show the state that the instances' decisions were based on. Lines that cannot be
// parsed are counted in unreadable.
func Explain(id string, window time.Duration, logs ...io.Reader) (lines []Line, unreadable int, err error) {
	var records []map[string]any
	for _, log := range logs {
		n, err := readLines(log, &records)
		unreadable += n
		if err != nil {
			return nil, unreadable, err
		}
	}
	var matches []map[string]any
	for _, l := range records {
		if l["id"] == id {
			matches = append(matches, l)
		}
	}
	for _, l := range records {
		if l["id"] == id || l["id"] == nil && slices.ContainsFunc(matches, func(r map[string]any) bool { return precedes(l, r, window) }) {
			lines = append(lines, newLine(l))
		}
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return lines, unreadable, nil
}

// readLines appends the records of a log to all and returns the number of lines that
// cannot be parsed, such as one that is longer than maxLogLine. A prefix before the first brace,
// such as a time or a name, is skipped.
func readLines(log io.Reader, all *[]map[string]any) (unreadable int, err error) {
	r := bufio.NewReaderSize(log, readBufferBytes)
	var line []byte
	for tooLong := false; ; {
		part, more, err := r.ReadLine()
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = nil
			}
			return unreadable, err
		}
		tooLong = tooLong || len(line)+len(part) > maxLogLine
		if !tooLong {
			line = append(line, part...)
		}
		if more {
			continue
		}
		i := bytes.IndexByte(line, '{')
		var l map[string]any
		if tooLong || i < 0 || json.Unmarshal(line[i:], &l) != nil {
			unreadable++
		} else {
			*all = append(*all, l)
		}
		line, tooLong = line[:0], false
	}
}

// precedes reports whether l is about the group of the request that r is about and was
// written at most window before r.
func precedes(l, r map[string]any, window time.Duration) bool {
	if l["group"] == nil || l["group"] != r["group"] {
		return false
	}
	elapsed := lineTime(r).Sub(lineTime(l))
	return elapsed >= 0 && elapsed <= window
}

func lineTime(l map[string]any) time.Time {
	text, _ := l["time"].(string)
	t, _ := time.Parse(time.RFC3339Nano, text) // zero sorts first
	return t
}

func newLine(l map[string]any) Line {
	out := Line{Time: lineTime(l)}
	out.Instance, _ = l[KeyInstance].(string)
	out.Message, _ = l["msg"].(string)
	for name, value := range l {
		switch name {
		case "time", "level", "msg", KeyInstance:
		default:
			out.Fields = append(out.Fields, printable(name)+"="+printable(fmt.Sprint(value)))
		}
	}
	slices.Sort(out.Fields)
	return out
}
