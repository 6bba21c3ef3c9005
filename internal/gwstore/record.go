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

// A record consists of a magic number, the length of the payload, a CRC-32C of length
// and payload, and the payload. The numbers are big-endian. The magic number allows Open
// to find intact records after a damaged one.
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
		// Whatever was written must be readable again: the decoder's default limits are too low,
		// and it refuses texts that are not UTF-8, which the encoder writes. The size of a record
		// bounds its elements.
		mode, err := cbor.DecOptions{MaxArrayElements: math.MaxInt32, MaxMapPairs: math.MaxInt32, UTF8: cbor.UTF8DecodeInvalid}.DecMode()
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
	// Base identifies the snapshot that the entries of a log file follow. It is set in
	// the first record of the file only.
	Base *base `cbor:"3,keyasint,omitempty"`
}

// base identifies a snapshot by its last entry.
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
		return nil, errors.Newf("record of %d bytes exceeds the maximum of %d", len(payload), maxRecordBytes)
	}
	b := make([]byte, headerBytes, headerBytes+len(payload))
	copy(b, recordMagic)
	binary.BigEndian.PutUint32(b[lengthOffset:], uint32(len(payload)))
	binary.BigEndian.PutUint32(b[checksumOffset:], checksum(b[lengthOffset:checksumOffset], payload))
	return append(b, payload...), nil
}

// Decode decodes what an instance has written to its disk as CBOR.
func Decode(data []byte, v any) error { return decoder.Unmarshal(data, v) }

func checksum(length, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, payload)
}

// nextRecord returns the payload and the total size of the record at the start of b. If
// b does not start with an intact record, ok is false.
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

// hasRecord reports whether b has an intact record at any offset.
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
