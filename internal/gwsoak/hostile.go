package gwsoak

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"gentianward.example/gentianward/platform/platformtest"
)

const (
	// pieceTimeout bounds a statement of a run without faults.
	pieceTimeout = 2 * time.Second
	// pieceAttempts is how often a piece is tried: an instance may stand still on a busy machine.
	pieceAttempts = 2
	// maxFailedPieces ends a sender early, as each failed statement takes its time.
	maxFailedPieces = 5
	// longPiece is the size of a long piece of data in bytes.
	longPiece = 64 << 10
	// longestInterval is the number of pieces of which one is sent as the longest data too.
	longestInterval = 10
)

// hostileData sends each piece of hostile data in every field, at each entry instance and by
// routes of both kinds. Nothing else happens, so that every statement must be answered.
func hostileData(ctx context.Context, r *Run) {
	before := r.check.failures()
	var wg sync.WaitGroup
	g := r.groups[0]
	for i, p := range r.entries {
		for k, database := range []string{g.Name(), g.Name() + "-own"} {
			wg.Go(func() { (&pieceSender{r: r, g: g, p: p, database: database, number: 2*i + k}).run(ctx) })
		}
	}
	wg.Wait()
	r.mu.Lock()
	still := r.stoodStill
	r.mu.Unlock()
	if n := r.check.failures() - before; n > 0 && still == 0 && ctx.Err() == nil {
		r.check.violate(RuleAnswer, "", "%d statements or sessions of other callers failed without a fault", n)
	}
}

// pieceSender sends every piece of hostile data by one entry instance and database.
type pieceSender struct {
	r        *Run
	g        *platformtest.Group
	p        *process
	database string
	number   int
	ids      int
}

func (s *pieceSender) run(ctx context.Context) {
	pieces := append(platformtest.HostilePieces(), "")
	long := s.number < 2 // at one instance only, by both databases
	if long {
		pieces = append(pieces, strings.Repeat("\n", longPiece/2)+strings.Repeat("\r", longPiece/2))
	}
	failed := 0
	for n, piece := range pieces {
		err := error(nil)
		for try := range pieceAttempts {
			steps := s.steps(fmt.Sprintf("%d-%d-%d", s.number, n, try), piece)
			if long && n%longestInterval == 0 {
				steps = append(steps, s.longest(fmt.Sprintf("%d-%d-%dlong", s.number, n, try), piece)...)
			}
			if err = s.send(ctx, steps); err == nil || !sleep(ctx, retryDelay) {
				break
			}
		}
		if err != nil && ctx.Err() == nil {
			s.r.check.brokenStatement(string(RuleAnswer), s.g.Name(), fmt.Sprintf("at %s (database %s) with data %.60q: %s", s.p.settings.Name, s.database, piece, err))
			var wrong *wrongAnswer
			if failed++; !errors.As(err, &wrong) && failed >= maxFailedPieces {
				return
			}
		}
		s.r.check.count("pieces of hostile data")
	}
}

// step is a statement and the row that it returns.
type step struct {
	text, row string
	reads     bool
}

// steps returns statements with a piece of data in each field. The items begin with prefix.
func (s *pieceSender) steps(prefix, piece string) []step {
	word := strings.ReplaceAll(piece, " ", "_") // for fields that are not the last one
	item := "p" + prefix + word
	return []step{
		{text: "SET n" + word + " " + piece},
		{text: "STORE " + item + " " + piece},
		{"FETCH " + item, piece, true},
		{"FETCH " + prefix + piece, "none", true},
		{text: "PREPARE s" + word + " STORE " + piece},
		{text: "PREPARE f" + word + " FETCH " + piece},
		{text: "EXECUTE s" + word + " " + item + "e " + piece},
		{"EXECUTE f" + word + " " + item + "e", piece, true},
		{text: "BEGIN"},
		{text: "STORE " + item + "t " + piece},
		{"EXECUTE f" + word + " " + item + "t", piece, true},
		{text: "COMMIT"},
		{text: "DEALLOC s" + word},
	}
}

// longest returns statements that are as long as a message may be. What an instance adds to them
// must not make them too long.
func (s *pieceSender) longest(item, piece string) []step {
	fill := func(text string) (statement, data string) {
		n := platformtest.MaxMessage - len(fmt.Sprintf("QUERY %s %s", s.nextID(), text))
		data = platformtest.WithoutLineEnd(strings.Repeat("x"+piece, n/(len(piece)+1)+1)[:n])
		return text + data, data
	}
	store, data := fill("STORE " + item + " ")
	execute, executed := fill("EXECUTE s " + item + "e ")
	fetch, _ := fill("FETCH " + item)
	return []step{
		{text: store},
		{"FETCH " + item, data, true},
		{text: "PREPARE s STORE q"},
		{text: execute},
		{"FETCH " + item + "e", executed, true},
		{"FETCH " + strings.ReplaceAll(fetch[len("FETCH "):], " ", "_"), "none", true},
	}
}

// wrongAnswer is an answer that is not the expected one.
type wrongAnswer struct{ text string }

// Error implements error.
func (e *wrongAnswer) Error() string { return e.text }

// send sends statements in a session of their own, and returns the first failure.
func (s *pieceSender) send(ctx context.Context, steps []step) error {
	session, a, err := platformtest.OpenSession(ctx, s.p.settings.CallerAddress, s.database, pieceTimeout, s.r.check.statements.Session(s.g.Name()))
	if session == nil {
		if err == nil {
			err = &wrongAnswer{"answered " + a.Code}
		}
		return fmt.Errorf("no session: %w", err)
	}
	defer session.Close()
	var first error
	fail := func(err error) {
		if first == nil {
			first = err
		}
	}
	for _, st := range steps {
		a, err := session.Do(s.nextID(), st.text, pieceTimeout)
		switch {
		case err != nil:
			return fmt.Errorf("no answer to %.60q: %w", st.text, err)
		case a.Code != "":
			fail(&wrongAnswer{fmt.Sprintf("%.60q is answered %s %.60q", st.text, a.Code, a.Cause)})
		case st.reads && (len(a.Rows) != 1 || a.Rows[0] != st.row):
			fail(&wrongAnswer{fmt.Sprintf("%.60q returns %.60q, want %.60q", st.text, a.Rows, st.row)})
		}
		// A caller closes its session after an error in answer to these.
		if verb, _, _ := strings.Cut(st.text, " "); a.Code != "" && slices.Contains([]string{"SET", "PREPARE", "DEALLOC"}, verb) {
			break
		}
	}
	return first
}

func (s *pieceSender) nextID() string {
	s.ids++
	return fmt.Sprintf("%08x%08x", callerNumbers+s.number, s.ids)
}

// callerNumbers is above the numbers of callers, so that ids differ.
const callerNumbers = 1 << 16
