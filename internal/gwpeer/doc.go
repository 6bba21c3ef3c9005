// Package gwpeer connects the instances of a deployment to each other with
// mutual TLS, over QUIC or over multiplexed TCP connections.
//
// A Node listens on one address and keeps one open connection, called a link,
// per pair of instances. The link carries unary calls, streams of frames and
// unreliable datagrams in both directions. A peer is addressed by its
// "ip:port" and identified by the instance name in its certificate.
//
// Messages are CBOR with integer keys. Their sizes are bounded, fields that
// the receiver does not know are ignored, and the protocol version is
// negotiated in a hello exchange when a connection is set up.
//
// Errors are of type *Error. Its kind says whether a request certainly did
// not reach the peer's handler (KindNotSent), may have reached it
// (KindUnknown), or was answered by the handler with an error (KindRemote).
package gwpeer
