package gwoutcome

import (
	"strings"

	"gentianward.example/gentianward/internal/gwsql"
	"gentianward.example/gentianward/pkg/gwsession"
)

// MaxKeyBytes is the greatest length of a request key in bytes.
const MaxKeyBytes = 200

// keyPrefix begins the content of an SQL comment that carries a request key.
const keyPrefix = " requestKey="

// KeyOf returns the request key in a comment /* requestKey=… */ with which a statement
// starts, and false if there is no valid one. The comment ends where it ends for the
// server, with comments nested in it.
func KeyOf(sql string) (string, bool) {
	comment, _ := gwsql.LeadingComment(sql)
	key, ok := strings.CutPrefix(comment, keyPrefix)
	key = strings.Trim(key, " \t\r\n\f\v")
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
