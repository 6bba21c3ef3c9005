package gwbackend

import "github.com/jackc/pgx/v5/pgconn"

// copyUnsupported is the error that answers a COPY FROM STDIN.
var copyUnsupported = &pgconn.PgError{
	Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: "0A000",
	Message: "COPY FROM STDIN is not supported through gentianward",
}

// commonTags maps frequent command tags to themselves, so that internTag returns them
// without an allocation.
var commonTags = func() map[string]string {
	m := make(map[string]string)
	for _, tag := range []string{
		"BEGIN", "COMMIT", "ROLLBACK", "SET", "SELECT 0", "SELECT 1", "SELECT 2", "SELECT 3", "SELECT 4",
		"SELECT 5", "SELECT 10", "SELECT 20", "SELECT 50", "SELECT 100", "INSERT 0 1", "INSERT 0 0",
		"UPDATE 0", "UPDATE 1", "DELETE 0", "DELETE 1", "SHOW", "DISCARD ALL",
	} {
		m[tag] = tag
	}
	return m
}()

func internTag(b []byte) string {
	if tag, ok := commonTags[string(b)]; ok {
		return tag
	}
	return string(b)
}
