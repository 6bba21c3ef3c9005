package gwstore

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"math"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"gentianward.example/gentianward/pkg/gwquorum"
)

// A record is a magic number, the payload's length, a CRC-32C of the length and
// the payload, and the payload. The magic number lets Open find intact records
// after a damaged one.
const (
	recordMagic    = "gwL1"
	lengthOffset   = 4
	checksumOffset = 8
	headerBytes    = 12
	maxRecordBytes = 1 << 30
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)

	decoder = func() cbor.DecMode {
		// Entries are bounded by the record's size, not by CBOR's default limit.
		mode, err := cbor.DecOptions{MaxArrayElements: math.MaxInt32}.DecMode()
		if err != nil {
			panic(err)
		}
		return mode
	}()
)

// change is the payload of a log record: the content of one save.
type change struct {
	HardState gwquorum.HardState `cbor:"1,keyasint"`
	Entries   []gwquorum.Entry   `cbor:"2,keyasint,omitempty"`
	// Base is set on the first record of a log file: the snapshot that the
	// file's entries follow.
	Base *base `cbor:"3,keyasint,omitempty"`
}

type base struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
}

func encodeRecord(v any) ([]byte, error) {
	payload, err := cbor.Marshal(v)
	if err != nil {
		return nil, err
	}
	if len(payload) > maxRecordBytes {
		return nil, errors.Newf("record of %d bytes exceeds %d", len(payload), maxRecordBytes)
	}
	b := make([]byte, headerBytes, headerBytes+len(payload))
	copy(b, recordMagic)
	binary.BigEndian.PutUint32(b[lengthOffset:], uint32(len(payload)))
	binary.BigEndian.PutUint32(b[checksumOffset:], checksum(b[lengthOffset:checksumOffset], payload))
	return append(b, payload...), nil
}

func checksum(length, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, payload)
}

// nextRecord returns the payload of the record at the start of b and the
// record's size; ok is false if b does not start with an intact record.
func nextRecord(b []byte) (payload []byte, size int, ok bool) {
	if len(b) < headerBytes || string(b[:lengthOffset]) != recordMagic {
		return nil, 0, false
	}
	length := int(binary.BigEndian.Uint32(b[lengthOffset:]))
	if length > len(b)-headerBytes {
		return nil, 0, false
	}
	payload = b[headerBytes : headerBytes+length]
	if checksum(b[lengthOffset:checksumOffset], payload) != binary.BigEndian.Uint32(b[checksumOffset:]) {
		return nil, 0, false
	}
	return payload, headerBytes + length, true
}

// hasRecord reports whether b holds an intact record anywhere.
func hasRecord(b []byte) bool {
	for {
		i := bytes.Index(b, []byte(recordMagic))
		if i < 0 {
			return false
		}
		if _, _, ok := nextRecord(b[i:]); ok {
			return true
		}
		b = b[i+1:]
	}
}
