package gwstandin

import (
	"encoding/binary"
	"encoding/hex"
	"math"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/jackc/pgx/v5/pgtype"
)

// oidUnknown is the OID of an unknown type. It is 0 and not the OID of PostgreSQL's
// type "unknown", because for an OID that pgx does not know it encodes and scans
// values by their Go type, as text.
const oidUnknown uint32 = 0

const (
	formatText   int16 = 0
	formatBinary int16 = 1
)

// cellKind is the SQLite storage class of a value.
type cellKind uint8

const (
	cellNull cellKind = iota
	cellInt
	cellFloat
	cellText
	cellBytes
)

// cell is one value of a result row.
type cell struct {
	kind cellKind
	i    int64
	f    float64
	b    []byte
}

// declaredTypes maps substrings of declared column types to OIDs; the first match
// counts.
var declaredTypes = []struct {
	part string
	oid  uint32
}{
	{"BOOL", pgtype.BoolOID},
	{"INT", pgtype.Int8OID},
	{"SERIAL", pgtype.Int8OID},
	{"REAL", pgtype.Float8OID},
	{"FLOA", pgtype.Float8OID},
	{"DOUBLE", pgtype.Float8OID},
	{"BLOB", pgtype.ByteaOID},
	{"BYTEA", pgtype.ByteaOID},
}

// declaredOID returns the OID of a declared type, oidUnknown if it is empty.
func declaredOID(decl string) uint32 {
	if decl == "" {
		return oidUnknown
	}
	upper := strings.ToUpper(decl)
	for _, t := range declaredTypes {
		if strings.Contains(upper, t.part) {
			return t.oid
		}
	}
	return pgtype.TextOID
}

// oid returns the OID for the storage class of the value.
func (c cell) oid() uint32 {
	switch c.kind {
	case cellInt:
		return pgtype.Int8OID
	case cellFloat:
		return pgtype.Float8OID
	case cellBytes:
		return pgtype.ByteaOID
	default:
		return pgtype.TextOID
	}
}

// appendValue appends a DataRow value in the given format, preceded by its length.
func appendValue(dst []byte, c cell, oid uint32, format int16) ([]byte, error) {
	if c.kind == cellNull {
		return binary.BigEndian.AppendUint32(dst, math.MaxUint32), nil
	}
	start := len(dst)
	dst = append(dst, 0, 0, 0, 0)
	if format == formatBinary {
		var err error
		if dst, err = appendBinary(dst, c, oid); err != nil {
			return nil, err
		}
	} else {
		dst = appendText(dst, c, oid)
	}
	binary.BigEndian.PutUint32(dst[start:], uint32(len(dst)-start-4))
	return dst, nil
}

func appendText(dst []byte, c cell, oid uint32) []byte {
	switch c.kind {
	case cellInt:
		if oid == pgtype.BoolOID {
			if c.i != 0 {
				return append(dst, 't')
			}
			return append(dst, 'f')
		}
		return strconv.AppendInt(dst, c.i, 10)
	case cellFloat:
		return appendFloat(dst, c.f)
	case cellBytes:
		// In a column of text, too: bytes got there as a text of this form, see inferValue.
		return appendHex(dst, c.b)
	default:
		if oid == pgtype.ByteaOID {
			return appendHex(dst, c.bytes())
		}
		return append(dst, c.b...)
	}
}

func appendHex(dst, b []byte) []byte {
	return hex.AppendEncode(append(dst, '\\', 'x'), b)
}

// bytes returns the value of a bytea column. A constant in the SQL text is text that holds
// PostgreSQL's hexadecimal form.
func (c cell) bytes() []byte {
	if c.kind == cellText {
		if b, ok := hexBytes(string(c.b)); ok {
			return b
		}
	}
	return c.b
}

// appendFloat writes the shortest form that reads back as f, as PostgreSQL does.
func appendFloat(dst []byte, f float64) []byte {
	switch abs := math.Abs(f); {
	case math.IsInf(f, 1):
		return append(dst, "Infinity"...)
	case math.IsInf(f, -1):
		return append(dst, "-Infinity"...)
	case abs != 0 && (abs < 1e-4 || abs >= 1e15):
		return strconv.AppendFloat(dst, f, 'e', -1, 64)
	default:
		return strconv.AppendFloat(dst, f, 'f', -1, 64)
	}
}

func appendBinary(dst []byte, c cell, oid uint32) ([]byte, error) {
	switch oid {
	case pgtype.Int8OID:
		i, ok := c.asInt()
		if !ok {
			return nil, mismatchError(c, "int8")
		}
		return binary.BigEndian.AppendUint64(dst, uint64(i)), nil
	case pgtype.Float8OID:
		f, ok := c.asFloat()
		if !ok {
			return nil, mismatchError(c, "float8")
		}
		return binary.BigEndian.AppendUint64(dst, math.Float64bits(f)), nil
	case pgtype.BoolOID:
		b, ok := c.asBool()
		if !ok {
			return nil, mismatchError(c, "bool")
		}
		if b {
			return append(dst, 1), nil
		}
		return append(dst, 0), nil
	case pgtype.ByteaOID, oidUnknown:
		if c.kind == cellBytes || c.kind == cellText && oid == pgtype.ByteaOID {
			return append(dst, c.bytes()...), nil
		}
	}
	return appendText(dst, c, pgtype.TextOID), nil
}

// hexBytes decodes PostgreSQL's hexadecimal text form of bytes.
func hexBytes(s string) ([]byte, bool) {
	digits, ok := strings.CutPrefix(s, `\x`)
	if !ok {
		return nil, false
	}
	b, err := hex.DecodeString(digits)
	return b, err == nil
}

func mismatchError(c cell, want string) error {
	return newError("encode value", KindStatement, stateMismatch, "value %q cannot be sent as %s", appendText(nil, c, oidUnknown), want)
}

func (c cell) asInt() (int64, bool) {
	switch c.kind {
	case cellInt:
		return c.i, true
	case cellFloat:
		return int64(c.f), c.f == math.Trunc(c.f) && math.Abs(c.f) < 1<<63
	default:
		i, err := strconv.ParseInt(string(c.b), 10, 64)
		return i, err == nil
	}
}

func (c cell) asFloat() (float64, bool) {
	switch c.kind {
	case cellInt:
		return float64(c.i), true
	case cellFloat:
		return c.f, true
	default:
		f, err := strconv.ParseFloat(string(c.b), 64)
		return f, err == nil
	}
}

func (c cell) asBool() (value, ok bool) {
	switch c.kind {
	case cellInt:
		return c.i != 0, true
	case cellFloat:
		return c.f != 0, true
	default:
		return parseBool(string(c.b))
	}
}

func parseBool(s string) (value, ok bool) {
	switch strings.ToLower(strings.TrimSpace(s)) {
	case "t", "true", "1", "yes", "on":
		return true, true
	case "f", "false", "0", "no", "off":
		return false, true
	}
	return false, false
}

// decodeParameter converts a parameter of a Bind message to the value that is
// bound and replicated: nil, int64, float64, string or []byte.
func decodeParameter(raw []byte, oid uint32, format int16) (any, error) {
	if raw == nil {
		return nil, nil
	}
	if format == formatBinary {
		return decodeBinary(raw, oid)
	}
	return decodeText(string(raw), oid)
}

// checkText rejects invalid UTF-8 and zero bytes, which PostgreSQL rejects and
// replication cannot carry.
func checkText(op, s string) error {
	if !utf8.ValidString(s) || strings.IndexByte(s, 0) >= 0 {
		return newError(op, KindStatement, stateInvalidEncoding, "invalid byte sequence for encoding \"UTF8\"")
	}
	return nil
}

func decodeText(s string, oid uint32) (any, error) {
	if err := checkText("bind parameter", s); err != nil {
		return nil, err
	}
	var v any
	var err error
	switch oid {
	case oidUnknown, pgtype.UnknownOID:
		return inferValue(s), nil
	case pgtype.Int2OID, pgtype.Int4OID, pgtype.Int8OID:
		v, err = strconv.ParseInt(s, 10, 64)
	case pgtype.Float4OID, pgtype.Float8OID:
		v, err = strconv.ParseFloat(s, 64)
	case pgtype.BoolOID:
		b, ok := parseBool(s)
		if !ok {
			return nil, newError("bind parameter", KindStatement, stateInvalidText, "invalid input syntax for type boolean: %q", s)
		}
		return boolValue(b), nil
	case pgtype.ByteaOID:
		if hexText, ok := strings.CutPrefix(s, `\x`); ok {
			v, err = hex.DecodeString(hexText)
		} else {
			v = []byte(s)
		}
	default:
		return s, nil
	}
	if err != nil {
		return nil, newError("bind parameter", KindStatement, stateInvalidText, "invalid input syntax for type with OID %d: %q", oid, s)
	}
	return v, nil
}

func boolValue(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// maxExactDigits is the number of significant digits up to which SQLite converts
// a float back to the same text.
const maxExactDigits = 15

// inferValue converts a text parameter without a declared type to the type that
// its form suggests. Otherwise a condition such as n + 1 <= $1 would compare a
// number with text, which SQLite orders after every number.
func inferValue(s string) any {
	if s == "" {
		return s
	}
	if b, ok := hexBytes(s); ok && s == `\x`+hex.EncodeToString(b) {
		return b
	}
	if c := s[0]; c != '-' && (c < '0' || c > '9') {
		return s
	}
	if i, err := strconv.ParseInt(s, 10, 64); err == nil && strconv.FormatInt(i, 10) == s {
		return i
	}
	if len(s) <= maxExactDigits && strings.Contains(s, ".") {
		if f, err := strconv.ParseFloat(s, 64); err == nil && strconv.FormatFloat(f, 'f', -1, 64) == s {
			return f
		}
	}
	return s
}

func decodeBinary(raw []byte, oid uint32) (any, error) {
	lengthError := func() (any, error) {
		return nil, newError("bind parameter", KindStatement, stateInvalidBinary, "binary parameter of type with OID %d has unexpected length %d", oid, len(raw))
	}
	switch oid {
	case pgtype.Int2OID, pgtype.Int4OID, pgtype.Int8OID:
		switch len(raw) {
		case 2:
			return int64(int16(binary.BigEndian.Uint16(raw))), nil
		case 4:
			return int64(int32(binary.BigEndian.Uint32(raw))), nil
		case 8:
			return int64(binary.BigEndian.Uint64(raw)), nil
		}
		return lengthError()
	case pgtype.Float4OID, pgtype.Float8OID:
		switch len(raw) {
		case 4:
			return float64(math.Float32frombits(binary.BigEndian.Uint32(raw))), nil
		case 8:
			return math.Float64frombits(binary.BigEndian.Uint64(raw)), nil
		}
		return lengthError()
	case pgtype.BoolOID:
		if len(raw) != 1 {
			return lengthError()
		}
		return boolValue(raw[0] != 0), nil
	case pgtype.TextOID, pgtype.VarcharOID, pgtype.BPCharOID, pgtype.NameOID, pgtype.JSONOID:
		return string(raw), checkText("bind parameter", string(raw))
	case pgtype.ByteaOID:
		return append([]byte{}, raw...), nil
	case oidUnknown, pgtype.UnknownOID:
		if utf8.Valid(raw) {
			return string(raw), nil
		}
		return append([]byte{}, raw...), nil
	default:
		return nil, newError("bind parameter", KindStatement, stateNotSupported, "binary parameters of type with OID %d are not supported", oid)
	}
}
