// Package gwquotas limits the operations of customers over all instances. It carries the messages
// of gwquota: between an entry instance and the quota agent of a customer in its data centre, and
// between agents and the leader of the replicated log.
//
// Every entry instance runs a Service. It answers the entry's Admit and Return, directly if the
// instance is the agent itself. Without a customer that has a limit it sends no message.
package gwquotas
