// Package gwpeer links the instances of a deployment over QUIC with mutual TLS.
//
// A Node listens on one UDP socket and dials from the same socket, so that one
// warm connection per pair of instances carries calls, streams and datagrams
// of both directions. A peer is addressed by its "ip:port" and identified by
// the instance name in its certificate.
//
// Messages are CBOR with integer keys. Their sizes are bounded, fields that
// the receiver does not know are ignored, and the protocol version is
// negotiated when a connection is set up.
//
// Errors are of type *Error. Its kind tells whether a request certainly did
// not reach the peer's handler (KindNotSent), may have reached it
// (KindUnknown), or was answered by the handler with an error (KindRemote).
package gwpeer
