package gwcontrol

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
)

const (
	// maxManifestBytes limits the decompressed text of a manifest that a peer sends.
	maxManifestBytes = 16 << 20
	// baseDictionary is the dictionary ID of a text that is encoded against another one.
	baseDictionary = 1
	// minTextWindow and maxTextWindow bound the window of the encoder. It must span both
	// texts for the earlier one to serve as a dictionary.
	minTextWindow = 1 << 14
	maxTextWindow = 8 << 20
)

// encodeText compresses a manifest for sending to a peer. The result is small if base, a
// manifest that the peer has, differs little from text; base may be empty.
func encodeText(text, base []byte) ([]byte, error) {
	window := 1 << bits.Len(uint(len(text)+len(base)))
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithWindowSize(min(maxTextWindow, max(minTextWindow, window))),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(baseDictionary, base))
	}
	e, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, &Error{Op: "compress manifest", Kind: BadManifest, Err: err}
	}
	return e.EncodeAll(text, nil), nil // no Close, as nothing was written to a stream
}

// decodeText reverses encodeText.
func decodeText(encoded, base []byte) ([]byte, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxManifestBytes)}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(baseDictionary, base))
	}
	d, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, &Error{Op: "decompress manifest", Kind: BadManifest, Err: err}
	}
	defer d.Close()
	text, err := d.DecodeAll(encoded, nil)
	if err != nil {
		return nil, &Error{Op: "decompress manifest", Kind: BadManifest, Err: err}
	}
	return text, nil
}

// keptTexts is the number of earlier manifests that changes can be encoded against. A peer
// that misses more changes gets the whole text.
const keptTexts = 8

// manifestTexts holds the texts of the last manifests of a view, and their encodings for
// peers.
type manifestTexts struct {
	numbers []uint64 // of the kept texts, oldest first
	texts   map[uint64][]byte
	// encoded holds the current text by the number of the manifest that it is encoded
	// against, 0 for none.
	encoded map[uint64][]byte
}

// add records the text of a manifest that has become current.
func (m *manifestTexts) add(number uint64, text []byte) {
	if m.texts == nil {
		m.texts = make(map[uint64][]byte)
	}
	m.numbers = append(m.numbers, number)
	m.texts[number] = text
	if len(m.numbers) > keptTexts+1 {
		delete(m.texts, m.numbers[0])
		m.numbers = m.numbers[1:]
	}
	m.encoded = make(map[uint64][]byte)
}

// encode returns the current text for a peer that has the manifest known, and the number
// of the manifest that the result is encoded against.
func (m *manifestTexts) encode(known uint64, text []byte) (encoded []byte, base uint64, err error) {
	if _, ok := m.texts[known]; ok {
		base = known
	}
	if encoded, ok := m.encoded[base]; ok {
		return encoded, base, nil
	}
	if encoded, err = encodeText(text, m.texts[base]); err == nil {
		m.encoded[base] = encoded
	}
	return encoded, base, err
}

// EncodeSince returns the changes since the given index and manifest number for a peer,
// with the manifest compressed, against the one with the number known if this instance
// still has that.
func (v *Views) EncodeSince(index, number, known uint64) (ViewDelta, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	view := v.current.Load()
	d := view.Since(index, number)
	if len(d.Text) == 0 {
		return d, nil
	}
	d.Digest = xxhash.Sum64(d.Text)
	var err error
	d.Text, d.Base, err = v.texts.encode(known, d.Text)
	return d, err
}

// ApplyEncoded applies a delta that EncodeSince returned at a peer, as Apply does.
func (v *Views) ApplyEncoded(d ViewDelta) (bool, error) {
	if len(d.Text) > 0 {
		v.mu.Lock()
		base, ok := v.texts.texts[d.Base]
		v.mu.Unlock()
		if d.Base > 0 && !ok {
			return false, &Error{Op: "decompress manifest", Kind: BadManifest, Detail: "the manifest that it is encoded against is not known"}
		}
		text, err := decodeText(d.Text, base)
		if err != nil {
			return false, err
		}
		if xxhash.Sum64(text) != d.Digest {
			return false, &Error{Op: "decompress manifest", Kind: BadManifest, Detail: "its digest differs"}
		}
		d.Text, d.Base, d.Digest = text, 0, 0
	}
	return v.Apply(d)
}
