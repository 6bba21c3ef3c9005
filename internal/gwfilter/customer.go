package gwfilter

import (
	"context"

	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/internal/gwstatement"
)

// Texts of failures of callers without access; they do not tell which keys exist.
const (
	keyUnknown   = "the API key is not known"
	keyWithdrawn = "the API key has been withdrawn"
)

// access returns the customer for which a caller with an API key may use a class, "" for none,
// and false if it may not. A public class needs no key; a known one still names the customer.
func access(m *gwmanifest.Index, class string, key gwmanifest.KeyDigest) (customer string, ok bool) {
	customer, ok = m.CustomerOfDigest(key)
	if ok || !m.NeedsKeys() {
		return customer, true
	}
	c, _ := m.Class(class)
	return "", c.Public
}

// resolveCaller sets the class, group and customer of the session's caller. If it has no access
// by the manifest of this instance, which may be out of date, it looks at the newest one first.
//
// It is called at the start of each operation and not within a transaction, so that a new
// manifest applies from the next operation on; see keyRevoked for what applies earlier.
func (s *statementSession) resolveCaller(ctx context.Context) *gwstatement.Failure {
	f := s.resolveNow()
	switch {
	case f == nil && s.keysUnconfirmed(ctx):
		return keysNotChecked
	case f == nil && s.checked == s.entry.Views.Current().Manifest || f != nil && f.Code != gwstatement.NotAuthenticated:
		return f
	case f != nil:
		s.entry.newest.wait(ctx)
	}
	if f = s.resolveNow(); f != nil && f.Code == gwstatement.NotAuthenticated {
		s.entry.refused(&s.session, f.Text)
		s.ended = true
	}
	return f
}

// keysNotChecked is the failure of a caller whose key may have been withdrawn.
var keysNotChecked = &gwstatement.Failure{Code: gwstatement.Busy, Text: "not run: API keys cannot be checked, as the control instances cannot be reached"}

// keysUnconfirmed reports whether the caller needs a key and the manifest is older than
// Options.KeysValid.
func (s *statementSession) keysUnconfirmed(ctx context.Context) bool {
	limit := s.entry.KeysValid
	if limit <= 0 || s.checked == nil || !s.checked.NeedsKeys() {
		return false
	}
	c, _ := s.checked.Class(s.class)
	return !c.Public && !s.entry.newest.confirmed(ctx, limit, s.entry.LeaderLost)
}

// resolveNow sets the class, group and customer by the manifest of this instance.
func (s *statementSession) resolveNow() *gwstatement.Failure {
	m := s.entry.Views.Current().Manifest
	if m == nil {
		return &gwstatement.Failure{Code: gwstatement.Busy, Text: "the instance has no manifest yet"}
	}
	caller, ok := m.Caller(s.caller)
	if !ok || len(caller.Databases) == 0 {
		return &gwstatement.Failure{Code: gwstatement.NoDatabase, Text: "database " + s.caller + " is not in the manifest"}
	}
	group, ok := m.Group(caller.Databases[0])
	if !ok {
		return &gwstatement.Failure{Code: gwstatement.NoDatabase, Text: "database " + s.caller + " has no group"}
	}
	customer, ok := access(m, caller.Class, s.key)
	if !ok {
		text := keyUnknown
		if s.customer != "" {
			text = keyWithdrawn
		}
		return &gwstatement.Failure{Code: gwstatement.NotAuthenticated, Text: text}
	}
	s.class, s.group, s.customer, s.checked = caller.Class, group.Name, customer, m
	return nil
}

// keyRevoked reports whether the caller has lost the access with which its open transaction
// began. The transaction of a caller that had no customer, as before keys were introduced, goes
// on if the caller has access now; one of a key that now belongs to another customer does not.
func (s *statementSession) keyRevoked() bool {
	m := s.entry.Views.Current().Manifest
	if m == s.checked || m == nil {
		return false
	}
	customer, ok := access(m, s.class, s.key)
	switch {
	case !ok:
		return true
	case s.customer == "" || customer == s.customer:
		return false
	}
	c, _ := m.Class(s.class)
	return m.NeedsKeys() && !c.Public
}

// customerOfCaller returns the customer of a caller that has proved its identity without an API
// key, as in the PostgreSQL protocol: the one of the same name, or "".
func (e *Entry) customerOfCaller(caller string) string {
	if m := e.Views.Current().Manifest; m != nil {
		if c, ok := m.Customer(caller); ok {
			return c.Name
		}
	}
	return ""
}

// refuse answers a caller without access; its connection is closed after that.
func (s *statementSession) refuse(b []byte, f *gwstatement.Failure) []byte {
	if f.Code != gwstatement.NotAuthenticated {
		return s.fail(b, f.Code, f.Text)
	}
	return s.codec.AppendFailure(b, *f)
}

// revoke rolls the open transaction back, because the key of its caller has been withdrawn. The
// connection is closed after the answer.
func (s *statementSession) revoke(b []byte) []byte {
	s.entry.refused(&s.session, keyWithdrawn)
	s.rollback()
	s.ended = true
	return s.fail(b, gwstatement.Aborted, keyWithdrawn)
}

// shortened bounds a name in a log line; a caller's may have up to 1 MiB.
func shortened(name string) string { return name[:min(len(name), maxLoggedID)] }

// refused counts and logs a caller without access.
func (e *Entry) refused(s *session, reason string) {
	e.Observer.NotAuthenticated(s.customer)
	if !e.refusals.Allow() {
		e.refusalsSkipped.Add(1)
		return
	}
	e.Log.Warn("caller without access refused", "database", shortened(s.caller), "customer", shortened(s.customer),
		"reason", reason, "manifest", e.Views.Current().Number, "skipped", e.refusalsSkipped.Swap(0))
}
