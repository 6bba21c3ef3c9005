package gwstate

import (
	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
)

const (
	// maxUnpacked bounds the size of decompressed data in bytes.
	maxUnpacked = 256 << 20
	// packWindow bounds the memory that the compressor holds between uses; its
	// default window of 8 MiB held over 6 MB of heap.
	packWindow = 512 << 10
)

var (
	// One goroutine each: compression is rare, and more would only hold memory.
	packer = must(zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(packWindow),
		zstd.WithLowerEncoderMem(true)))
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
