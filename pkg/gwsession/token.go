package gwsession

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Limits and version of a token.
const (
	// MaxTokenBytes is the greatest length of an encoded token in bytes.
	MaxTokenBytes = 8 << 10
	tokenVersion  = 1
)

// tokenBody is the signed content of a token; Issued is in Unix seconds.
type tokenBody struct {
	Version   uint64              `cbor:"1,keyasint"`
	Caller    string              `cbor:"2,keyasint"`
	Issued    int64               `cbor:"3,keyasint"`
	Positions map[string]Position `cbor:"4,keyasint"`
}

// Signer issues and verifies session tokens.
//
// The first key signs and every key verifies, so that keys can be rotated without
// invalidating tokens in use.
type Signer struct {
	keys     [][]byte
	lifetime time.Duration
}

// NewSigner returns a signer whose tokens are valid for lifetime.
func NewSigner(lifetime time.Duration, keys ...[]byte) *Signer {
	return &Signer{keys: keys, lifetime: lifetime}
}

// tokenDecoder decodes what Issue encodes, which includes names that are not UTF-8.
var tokenDecoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// Issue returns a token that carries w for caller. It fails for one that Verify would refuse because
// it is longer than MaxTokenBytes, as with the positions of 87 groups with names of 62 bytes.
func (s *Signer) Issue(caller string, w Watermark, now time.Time) (string, error) {
	body := tokenBody{Version: tokenVersion, Caller: caller, Issued: now.Unix(), Positions: w.positions}
	raw, err := cbor.Marshal(body)
	if err != nil {
		return "", &Error{Op: "issue token", Kind: Malformed, Err: err}
	}
	signed := append(sign(s.keys[0], raw), raw...)
	token := base64.RawURLEncoding.EncodeToString(signed)
	if len(token) > MaxTokenBytes {
		return "", &Error{Op: "issue token", Kind: Malformed, Err: fmt.Errorf("a token of %d bytes, %d are allowed", len(token), MaxTokenBytes)}
	}
	return token, nil
}

// Verify returns the watermark of a token that was issued to caller.
func (s *Signer) Verify(caller, token string, now time.Time) (Watermark, error) {
	const op = "verify token"
	if len(token) > MaxTokenBytes {
		return Watermark{}, &Error{Op: op, Kind: Malformed}
	}
	signed, err := base64.RawURLEncoding.DecodeString(token)
	if err != nil {
		return Watermark{}, &Error{Op: op, Kind: Malformed, Err: err}
	}
	if len(signed) < sha256.Size {
		return Watermark{}, &Error{Op: op, Kind: Malformed}
	}
	mac, raw := signed[:sha256.Size], signed[sha256.Size:]
	if !s.signedByAny(mac, raw) {
		return Watermark{}, &Error{Op: op, Kind: Forged}
	}
	var body tokenBody
	if err := tokenDecoder.Unmarshal(raw, &body); err != nil || body.Version != tokenVersion {
		return Watermark{}, &Error{Op: op, Kind: Malformed, Err: err}
	}
	if body.Caller != caller {
		return Watermark{}, &Error{Op: op, Kind: WrongCaller}
	}
	if now.Sub(time.Unix(body.Issued, 0)) > s.lifetime {
		return Watermark{}, &Error{Op: op, Kind: Expired}
	}
	return Watermark{positions: body.Positions}, nil
}

// signedByAny reports whether mac is the signature of raw with one of the keys.
func (s *Signer) signedByAny(mac, raw []byte) bool {
	for _, key := range s.keys {
		if hmac.Equal(mac, sign(key, raw)) {
			return true
		}
	}
	return false
}

// sign returns the HMAC-SHA-256 of raw.
func sign(key, raw []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(raw)
	return h.Sum(nil)
}
