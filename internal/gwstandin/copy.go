package gwstandin

import (
	"log/slog"
	"sync"
)

// dataCopy is a database built by replaying the replication log. A goroutine that uses
// it holds mu or, for the copy of write transactions, the write lock.
type dataCopy struct {
	mu          sync.Mutex
	db          *database
	applied     int
	lastApplied *entry // entry at offset applied, nil at offset 0
	logger      *slog.Logger
}

// maxApplyBatch bounds the number of log entries that are applied in one
// transaction and thereby the size of SQLite's rollback journal.
const maxApplyBatch = 1024

// catchUp applies the entries that the copy lacks. A copy with an entry that the
// log has dropped is rebuilt from the start.
func (c *dataCopy) catchUp(l *repLog) error {
	entries := l.view().entries
	if c.db != nil && c.applied == len(entries) && (c.applied == 0 || entries[c.applied-1] == c.lastApplied) {
		return nil
	}
	if c.db != nil && c.applied > 0 && (c.applied > len(entries) || entries[c.applied-1] != c.lastApplied) {
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
		c.setApplied(end, entries[end-1])
	}
	return nil
}

func (c *dataCopy) setApplied(applied int, last *entry) {
	c.applied, c.lastApplied = applied, last
}

// apply replays entries in one transaction.
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
	st, err := c.db.compiled(s.SQL)
	if err != nil {
		return err
	}
	_, err = st.run(s.Args, nil)
	if st.changesSchema {
		c.db.clearCache()
	}
	return err
}

// close frees the data; the next catchUp rebuilds them.
func (c *dataCopy) close() {
	if c.db != nil {
		c.db.close()
	}
	c.db = nil
	c.setApplied(0, nil)
}
