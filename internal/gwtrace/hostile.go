package gwtrace

import (
	"math/rand/v2"
	"strings"
)

// HostilePieces are the parts of the texts that clients of replays and loads write: all
// that ends or splits a line, a word, a constant, a comment or a statement somewhere, and
// letters of one to four bytes. PostgreSQL has no text with a NUL.
var HostilePieces = []string{
	"\r", "\n", "\r\n", "\t", "\v", "\f", " ", "'", "''", `"`, `\`, `\'`, `\x41`, ";", "--", "/*", "*/", "$$", "$1", "%s", "=", ",", "(", ")",
	"\x01", "\x1b", "\x7f", "\u0085", "\u00a0", "\u2028", "\ufeff", "é", "漢字", "🜚", "NULL", "select", "commit;", "a", "0", "1e3", "x y",
}

// HostileText returns a text of n pieces that rng chooses.
func HostileText(rng *rand.Rand, n int) string {
	var text strings.Builder
	for range n {
		text.WriteString(HostilePieces[rng.IntN(len(HostilePieces))])
	}
	return text.String()
}
