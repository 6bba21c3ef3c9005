// Package gwstandin is a small database server for tests, the demo and
// measurements. It speaks the PostgreSQL wire protocol, executes SQL with
// in-memory SQLite databases, and replicates committed write statements
// asynchronously from a primary to its replicas.
//
// A server keeps one in-memory log of committed write transactions and several
// copies of the data, each a SQLite database built by replaying the log: one
// copy for the open write transaction, the others for reads. Before a copy is
// used, it applies the log entries that it lacks. A statement thus sees every
// transaction committed before the statement began (read committed), and reads
// never wait for an open write transaction. Write transactions run one at a time.
//
// Committed statements are replayed with their arguments, so a write whose
// result depends on the time or on a random function gives different rows on
// different copies. Clients must pass such values as arguments.
//
// Parameters whose type the client does not declare are described with OID 0;
// pgx then sends them as text. Such a value is bound as an integer or a float
// if it has the canonical form of one, as bytes if it is a bytea literal
// (`\x` and hex digits), and as text otherwise. A parameter written with a cast,
// such as $1::text, has the type of the cast.
package gwstandin
