// Package gwbudget bounds the memory and the descriptors that clients can take from one process.
//
// A Budget has pools of bytes. Who reads or keeps data of a client takes its bytes from a pool
// first and waits while the pool is full, so that the client's connection is not read meanwhile.
// Connections bounds the open connections of one listener. A nil Budget, Pool or Hold has no
// bounds. See docs/design/memory.md.
package gwbudget
