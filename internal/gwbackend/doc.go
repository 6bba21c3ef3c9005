// Package gwbackend manages the connections to one backend server: single
// connections (Conn), the bounded pool of a server (Pool), the control statements
// that are specific to a database product (Dialect), and a server's role and
// replication position (Server).
//
// Conventions: requests are raw frontend messages of the PostgreSQL wire
// protocol 3.0 that end in one Query or one Sync; answers are raw backend
// messages up to and including ReadyForQuery. Byte slices passed to a Sink are
// valid only during the call and may hold parts of messages.
//
// A Conn is used by one goroutine at a time. Pool and Server are safe for
// concurrent use.
package gwbackend
