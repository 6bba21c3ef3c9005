package gwstandin

import (
	"log/slog"
	"sync"
)

// dataCopy is a database that is built from the replication log. Its owner
// holds mu, or for the copy of write transactions the writer lock.
type dataCopy struct {
	mu      sync.Mutex
	db      *database
	applied int
	last    *entry // the entry at applied, nil at 0
	logger  *slog.Logger
}

// maxApplyBatch bounds the log entries that are applied in one transaction, to
// bound the size of SQLite's rollback journal.
const maxApplyBatch = 1024

// catchUp applies the entries that the copy is missing. A copy that holds an
// entry which the log dropped is built again from the start.
func (c *dataCopy) catchUp(l *repLog) error {
	entries := l.view().entries
	if c.db != nil && c.applied == len(entries) && (c.applied == 0 || entries[c.applied-1] == c.last) {
		return nil
	}
	if c.db != nil && c.applied > 0 && (c.applied > len(entries) || entries[c.applied-1] != c.last) {
		c.close()
	}
	if c.db == nil {
		db, err := openDatabase()
		if err != nil {
			return err
		}
		c.db = db
	}
	for c.applied < len(entries) {
		end := min(c.applied+maxApplyBatch, len(entries))
		if err := c.apply(entries[c.applied:end]); err != nil {
			return err
		}
		c.advance(end, entries[end-1])
	}
	return nil
}

func (c *dataCopy) advance(applied int, last *entry) {
	c.applied, c.last = applied, last
}

func (c *dataCopy) apply(entries []*entry) error {
	if err := c.db.exec("BEGIN"); err != nil {
		return err
	}
	for _, e := range entries {
		for _, st := range e.Statements {
			if err := c.replay(st); err != nil {
				c.logger.Error("replay of a committed statement failed", "sql", st.SQL, "error", err)
			}
		}
	}
	return c.db.exec("COMMIT")
}

func (c *dataCopy) replay(s statement) error {
	st, err := c.db.cached(s.SQL)
	if err != nil {
		return err
	}
	_, err = st.run(s.Args, nil)
	if st.schema {
		c.db.clearCache()
	}
	return err
}

// close drops the data; the next catchUp builds them again.
func (c *dataCopy) close() {
	if c.db != nil {
		c.db.close()
	}
	c.db = nil
	c.advance(0, nil)
}
