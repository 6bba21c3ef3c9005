package gwstate

import (
	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
)

// maxUnpacked bounds the size of decompressed data in bytes.
const maxUnpacked = 256 << 20

var (
	// One goroutine each: compression is rare, and more would only hold memory.
	packer   = must(zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1)))
	unpacker = must(zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxUnpacked)))
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // the options above are constant
	}
	return v
}

func pack(b []byte) []byte { return packer.EncodeAll(b, nil) }

func unpack(b []byte) ([]byte, error) {
	out, err := unpacker.DecodeAll(b, nil)
	return out, errors.Wrap(err, "decompress")
}
