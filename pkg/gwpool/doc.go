// Package gwpool decides about the connections to one server that serves several users, where a
// connection can only be used by the user for which it was opened: which idle connection is
// closed for which waiting request, when a connection is opened, when a request waits for one
// in use, and how many a user may hold.
//
// A Pool holds numbers and estimates only. Its caller owns the connections, reports each event,
// and then carries out what Next returns until there is nothing left to do. Time is an
// argument. A Pool is not safe for concurrent use.
package gwpool
