package gwmanifest

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Limits of a file. A manifest with 3,300 databases has about 1 MB.
const (
	MaxFileBytes = 4 << 20
	maxDepth     = 32 // nesting of objects and arrays
	maxProblems  = 100
)

// checker accumulates the problems of one file.
type checker struct {
	op, file string
	text     []byte
	root     hujson.Value
	errs     []*Error
	omitted  int // number of problems beyond maxProblems
}

// parse decodes text into out, a pointer to a struct. If the text does not match the
// struct, the error lists every mismatch.
func parse(op, file string, text []byte, out any) (*checker, error) {
	c := &checker{op: op, file: file, text: text}
	if len(text) > MaxFileBytes {
		c.addProblem(0, KindSyntax, "", fmt.Sprintf("up to %d bytes", MaxFileBytes), "the file has %d bytes", len(text))
		return nil, c.err()
	}
	if at, ok := tooDeep(text); ok {
		c.addProblem(at, KindSyntax, "", fmt.Sprintf("up to %d levels", maxDepth), "objects and arrays are nested too deeply")
		return nil, c.err()
	}
	root, err := hujson.Parse(text)
	if err != nil {
		c.addSyntaxError(err)
		return nil, c.err()
	}
	c.root = root
	c.checkType(&root, reflect.TypeOf(out).Elem(), "")
	if err := c.err(); err != nil {
		return nil, err
	}
	standard := root.Clone()
	standard.Standardize()
	dec := json.NewDecoder(bytes.NewReader(standard.Pack()))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		c.addProblem(0, KindType, "", "", "%v", err)
	}
	return c, c.err()
}

// err joins the problems found so far, ordered by line and column.
func (c *checker) err() error {
	slices.SortStableFunc(c.errs, func(a, b *Error) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	var errs []error
	for _, e := range c.errs {
		errs = append(errs, e)
	}
	if c.omitted > 0 {
		errs = append(errs, fmt.Errorf("%s: %d more problems", c.file, c.omitted))
	}
	return errors.Join(errs...)
}

// addProblem adds a problem at a byte offset of the text.
func (c *checker) addProblem(offset int, kind Kind, field, accepted, format string, args ...any) {
	if len(c.errs) >= maxProblems {
		c.omitted++
		return
	}
	offset = min(max(offset, 0), len(c.text))
	before := c.text[:offset]
	c.errs = append(c.errs, &Error{
		Op:       c.op,
		Kind:     kind,
		File:     c.file,
		Line:     1 + bytes.Count(before, []byte("\n")),
		Column:   offset - bytes.LastIndexByte(before, '\n'),
		Field:    field,
		Accepted: accepted,
		Message:  fmt.Sprintf(format, args...),
	})
}

var syntaxLocation = regexp.MustCompile(`line (\d+), column (\d+)`)

// addSyntaxError adds an error of the parser, whose text contains the line and column.
func (c *checker) addSyntaxError(err error) {
	message := strings.TrimPrefix(err.Error(), "hujson: ")
	e := &Error{Op: c.op, Kind: KindSyntax, File: c.file, Line: 1, Column: 1, Accepted: "JSON with comments and trailing commas"}
	if m := syntaxLocation.FindStringSubmatch(message); m != nil {
		e.Line, _ = strconv.Atoi(m[1])
		e.Column, _ = strconv.Atoi(m[2])
		_, rest, ok := strings.Cut(message, m[0]+": ")
		if ok {
			message = rest
		}
	}
	e.Message = message
	c.errs = append(c.errs, e)
}

// tooDeep returns the offset of the first bracket that is nested deeper than maxDepth. The
// parsers are recursive, so deeper nesting could overflow the stack.
func tooDeep(text []byte) (int, bool) {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i = skipString(text, i)
		case '/':
			i = skipComment(text, i)
		case '{', '[':
			if depth++; depth > maxDepth {
				return i, true
			}
		case '}', ']':
			depth--
		}
	}
	return 0, false
}

// skipString returns the offset of the closing quote of the string at i.
func skipString(text []byte, i int) int {
	for i++; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return i
}

// skipComment returns the offset of the last byte of the comment at i, or i.
func skipComment(text []byte, i int) int {
	end := ""
	switch {
	case bytes.HasPrefix(text[i:], []byte("//")):
		end = "\n"
	case bytes.HasPrefix(text[i:], []byte("/*")):
		end = "*/"
	default:
		return i
	}
	at := bytes.Index(text[i+2:], []byte(end))
	if at < 0 {
		return len(text)
	}
	return i + 2 + at + len(end) - 1
}
