// Package gwstandin is a small database server for tests, the demo and
// measurements. It speaks the PostgreSQL wire protocol, executes SQL with
// SQLite in memory, and replicates committed write statements asynchronously
// from a primary to its replicas.
//
// A server keeps one in-memory log of committed write transactions. Its data
// are copies built from the log: one copy for the open write transaction and
// several for reads. A copy applies the log entries that it is missing before
// it is used, so a statement always sees every transaction committed before it
// began (read committed), and readers never wait for an open write transaction.
// Write transactions run one at a time.
//
// Committed statements are replayed with their arguments, so a write whose
// result depends on the time or on a random function gives different rows on
// different copies. Callers pass such values as arguments.
//
// Parameters whose type the client does not declare are described with OID 0;
// pgx then sends them as text. Such a value is taken as an integer or a float
// when it has the canonical form of one, as bytes when it is a bytea literal
// (`\x` and hex digits), and as text otherwise. A parameter written with a cast,
// such as $1::text, has the type of the cast.
package gwstandin
