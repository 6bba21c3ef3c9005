package gwcontrol

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

const (
	// factBuckets is the number of parts of a directory that are compared by a digest each. With
	// 9,900 servers, a part has 77.
	factBuckets = 128
	// maxFactsPerMessage bounds the facts of one message: 1,024 of the greatest size take 700 KB
	// of the 1 MiB that a message may have, and those of 9,900 usual servers 914 KB.
	maxFactsPerMessage = 1024
	bucketDigestBytes  = 4
)

// pullDirectory sends facts, or a digest to compare directories by.
type pullDirectory struct {
	Digest uint64   `cbor:"1,keyasint"`
	Facts  factList `cbor:"2,keyasint,omitempty"`
	// Paged means that the answer has no facts unless Buckets asks for them. Earlier releases
	// ask without it and expect all facts if the digests differ.
	Paged bool `cbor:"3,keyasint,omitempty"`
	// Buckets holds the digests of the parts of the sender's directory.
	Buckets []byte `cbor:"4,keyasint,omitempty"`
}

// directoryFacts answers pullDirectory.
type directoryFacts struct {
	// Facts are those of parts that differ, as many as one message holds, or all for an earlier
	// release.
	Facts factList `cbor:"1,keyasint,omitempty"`
	// Digest is the digest of the sender's directory.
	Digest uint64 `cbor:"2,keyasint"`
	// Buckets holds the digests of the parts of the sender's directory, if it was asked by Buckets.
	Buckets []byte `cbor:"3,keyasint,omitempty"`
}

func bucketOf(server string) int { return int(xxhash.Sum64String(server) % factBuckets) }

// digests returns the encoded digests of the parts.
func (s *directorySnapshot) digests() []byte {
	b := make([]byte, 0, factBuckets*bucketDigestBytes)
	for _, sum := range s.buckets {
		b = binary.LittleEndian.AppendUint32(b, sum)
	}
	return b
}

// differing returns facts of the parts whose digest differs from an encoded one, at most
// maxFactsPerMessage, of whole parts if one part has fewer. They begin at a random part, so that
// one which always differs, because the peer cannot use an entry, does not keep the others back.
func (s *directorySnapshot) differing(digests []byte) []ServerFacts {
	if len(digests) != factBuckets*bucketDigestBytes {
		digests = make([]byte, factBuckets*bucketDigestBytes) // of an empty directory
	}
	var parts [factBuckets][]ServerFacts
	for _, f := range s.facts {
		b := bucketOf(f.Server)
		if binary.LittleEndian.Uint32(digests[b*bucketDigestBytes:]) != s.buckets[b] {
			parts[b] = append(parts[b], f)
		}
	}
	var out []ServerFacts
	first := rand.IntN(factBuckets)
	for i := range parts {
		part := parts[(first+i)%factBuckets]
		if len(out) > 0 && len(out)+len(part) > maxFactsPerMessage {
			break
		}
		out = append(out, part...)
	}
	return out[:min(len(out), maxFactsPerMessage)]
}

// answer returns the answer to a message whose facts have been merged.
func (d *Directory) answer(msg pullDirectory) directoryFacts {
	s := d.current.Load()
	a := directoryFacts{Digest: s.digest}
	switch {
	case len(msg.Facts) > 0 || msg.Digest == s.digest || msg.Paged && len(msg.Buckets) == 0:
	case msg.Paged:
		a.Facts, a.Buckets = s.differing(msg.Buckets), s.digests()
	default:
		a.Facts = d.All()
	}
	return a
}

// compare compares the directory with a peer's and exchanges facts that differ, and reports
// whether this has changed one of the two, so that more may differ. exchange sends a message and
// merges the facts of the answer.
func (d *Directory) compare(exchange func(pullDirectory) (directoryFacts, error)) (changed bool, err error) {
	before := d.Digest()
	theirs, err := exchange(pullDirectory{Digest: before, Paged: true})
	if err != nil || theirs.Digest == before {
		return false, err
	}
	s := d.current.Load()
	theirs, err = exchange(pullDirectory{Digest: s.digest, Paged: true, Buckets: s.digests()})
	if err != nil {
		return false, err
	}
	after := theirs
	if missing := d.current.Load().differing(theirs.Buckets); len(missing) > 0 && theirs.Digest != d.Digest() {
		if after, err = exchange(pullDirectory{Digest: d.Digest(), Paged: true, Facts: missing}); err != nil {
			return false, err
		}
	}
	return d.Digest() != before || after.Digest != theirs.Digest, nil
}
