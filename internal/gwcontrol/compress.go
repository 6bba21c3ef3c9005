package gwcontrol

import "github.com/klauspost/compress/zstd"

// maxManifestBytes limits the decompressed text of a manifest that a peer sends.
const maxManifestBytes = 16 << 20

// The encoder and decoder of manifests are safe for concurrent use.
var (
	textEncoder = mustEncoder()
	textDecoder = mustDecoder()
)

func mustEncoder() *zstd.Encoder {
	e, err := zstd.NewWriter(nil)
	if err != nil {
		panic(err)
	}
	return e
}

func mustDecoder() *zstd.Decoder {
	d, err := zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxManifestBytes))
	if err != nil {
		panic(err)
	}
	return d
}

// compressText returns d with its manifest compressed for sending to a peer, as
// traffic between regions is charged by volume.
func compressText(d ViewDelta) ViewDelta {
	if len(d.Text) > 0 {
		d.Text = textEncoder.EncodeAll(d.Text, nil)
	}
	return d
}

// decompressText reverses compressText.
func decompressText(d ViewDelta) (ViewDelta, error) {
	if len(d.Text) == 0 {
		return d, nil
	}
	text, err := textDecoder.DecodeAll(d.Text, nil)
	if err != nil {
		return d, &Error{Op: "decompress manifest", Kind: BadManifest, Err: err}
	}
	d.Text = text
	return d, nil
}
