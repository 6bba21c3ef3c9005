package gwoutcome

import (
	"strings"

	"gentianward.example/gentianward/pkg/gwsession"
)

// MaxKeyBytes is the greatest length of a request key in bytes.
const MaxKeyBytes = 200

// keyPrefix is the start of an SQL comment that carries a request key.
const keyPrefix = "/* requestKey="

// KeyOf returns the request key in a leading comment /* requestKey=… */ of a statement,
// and false if there is no valid one.
func KeyOf(sql string) (string, bool) {
	rest, ok := strings.CutPrefix(strings.TrimSpace(sql), keyPrefix)
	if !ok {
		return "", false
	}
	key, _, ok := strings.Cut(rest, "*/")
	key = strings.TrimSpace(key)
	if !ok || !ValidKey(key) {
		return "", false
	}
	return key, true
}

// ValidKey reports whether key has 1 to MaxKeyBytes bytes of printable ASCII without
// spaces, quotes and backslashes.
func ValidKey(key string) bool {
	if key == "" || len(key) > MaxKeyBytes {
		return false
	}
	for i := range len(key) {
		if c := key[i]; c <= ' ' || c > '~' || c == '\'' || c == '"' || c == '\\' {
			return false
		}
	}
	return true
}

// KeyLookup is the result of a lookup in the group's table of request keys.
type KeyLookup struct {
	Found    bool
	Position gwsession.Position
	// Term is the term of the primary that answered.
	Term uint64
	// LeaseHeld means that the owner still held the lease of Term after the answer.
	LeaseHeld bool
}

// Resolve decides the outcome of a request with a key that was sent at sentTerm.
//
// An absent key proves that the request did not run only at a later term: at the same
// term the first attempt may still be running.
func Resolve(sentTerm uint64, l KeyLookup) Outcome {
	switch {
	case !l.LeaseHeld:
		return Unknown{Reason: "the primary's lease was not held"}
	case l.Found:
		return Done{Position: l.Position}
	case l.Term > sentTerm:
		return NotRun{Reason: "the key is absent under a later term"}
	default:
		return Unknown{Reason: "the first attempt may still be running"}
	}
}
