package gwstate

import (
	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
)

const (
	// maxDecompressedBytes bounds the size of decompressed data.
	maxDecompressedBytes = 256 << 20
	// compressionWindowBytes bounds the memory that the compressor retains between
	// uses; with its default window of 8 MiB it retained over 6 MB of heap.
	compressionWindowBytes = 512 << 10
)

var (
	// One goroutine each: compression is rare, and more would only use memory.
	compressor = must(zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(compressionWindowBytes),
		zstd.WithLowerEncoderMem(true)))
	decompressor = must(zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDecompressedBytes)))
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // the options above are constant
	}
	return v
}

func compress(b []byte) []byte { return compressor.EncodeAll(b, nil) }

func decompress(b []byte) ([]byte, error) {
	out, err := decompressor.DecodeAll(b, nil)
	return out, errors.Wrap(err, "decompress")
}
