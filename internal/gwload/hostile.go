package gwload

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5"

	"gentianward.example/gentianward/internal/gwtrace"
)

// Sizes of the records that the load writes.
const (
	maxPieces = 40
	maxBytes  = 64
	// Each longEvery-th record has a text and bytes of at least longBytes, which is more
	// than the buffers of a connection hold.
	longEvery = 101
	longBytes = 20_000
)

// record is a row of a table of the load.
type record struct {
	ID, Subject, Body string
	Data              []byte
}

// idSuffix ends each ID. Code that trims it or ends a line there changes the ID.
const idSuffix = "'\r"

// newRecord returns the n-th record that a load with the seed writes.
func newRecord(seed, n uint64, subject string) record {
	rng := rand.New(rand.NewPCG(seed, n))
	r := record{ID: fmt.Sprintf("load-%d", n) + idSuffix, Subject: subject}
	r.Body = gwtrace.HostileText(rng, rng.IntN(maxPieces))
	r.Data = make([]byte, rng.IntN(maxBytes))
	for i := range r.Data {
		r.Data[i] = byte(rng.Uint32())
	}
	if n%longEvery == 0 {
		r.Body = strings.Repeat(r.Body+"\r", longBytes/(len(r.Body)+1)+1)
		r.Data = bytes.Repeat(append(r.Data, 0), longBytes/(len(r.Data)+1)+1)
	}
	return r
}

// newSubject returns the n-th subject.
func newSubject(n int) string { return fmt.Sprintf("home-%d \\'\r\n🜚", n) }

// checkRecord returns what differs between a record that was read and the one that was
// written under its ID, and "" if they are equal.
func checkRecord(seed uint64, got record, subject string) string {
	digits, prefixed := strings.CutPrefix(got.ID, "load-")
	digits, suffixed := strings.CutSuffix(digits, idSuffix)
	n, err := strconv.ParseUint(digits, 10, 64)
	if !prefixed || !suffixed || err != nil {
		return fmt.Sprintf("ID %q", got.ID)
	}
	want := newRecord(seed, n, subject)
	switch {
	case got.Subject != want.Subject:
		return fmt.Sprintf("subject of %q: %q in place of %q", got.ID, got.Subject, want.Subject)
	case got.Body != want.Body:
		return fmt.Sprintf("body of %q: %.200q in place of %.200q", got.ID, got.Body, want.Body)
	case !bytes.Equal(got.Data, want.Data):
		return fmt.Sprintf("data of %q: %.100x in place of %.100x", got.ID, got.Data, want.Data)
	}
	return ""
}

// queryMode returns the way in which request n is sent. Most requests have the mode that
// costs least.
func queryMode(n uint64) pgx.QueryExecMode {
	switch n % 16 {
	case 3:
		return pgx.QueryExecModeSimpleProtocol
	case 7:
		return pgx.QueryExecModeCacheStatement // with results in binary format
	case 11:
		return pgx.QueryExecModeDescribeExec
	default:
		return pgx.QueryExecModeExec
	}
}

// tableOf returns the table of the load for a table of the deployment.
func tableOf(table string) string { return "load_" + table }

// setupOf returns the statements that set up the profile's tables and those of the load.
func setupOf(profile *gwtrace.Profile, classes []Class) []string {
	out := append([]string{}, profile.Setup...)
	for _, c := range classes {
		table := tableOf(c.Table)
		out = append(out,
			"create table if not exists "+table+" (seq integer primary key, id text, subject text, body text, data bytea)",
			"create index if not exists "+table+"_subject on "+table+" (subject)")
	}
	return out
}
