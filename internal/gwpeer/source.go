package gwpeer

import (
	"crypto/hkdf"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// Identity is the certificate that a node presents and the CAs that it trusts.
type Identity struct {
	Certificate tls.Certificate
	Roots       *x509.CertPool
}

// TLSSource returns the current identity. A new identity is used for new connections,
// and existing ones whose peer it does not trust are closed.
type TLSSource interface {
	Identity() *Identity
}

// NewIdentity parses an identity from PEM texts; rootsPEM may hold several CAs.
func NewIdentity(rootsPEM, certPEM, keyPEM []byte) (*Identity, error) {
	cert, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		return nil, keyError("load identity", err)
	}
	roots, err := parseCertificates(rootsPEM)
	if err != nil {
		return nil, keyError("load identity", errors.Wrap(err, "ca"))
	}
	pool := x509.NewCertPool()
	for _, c := range roots {
		pool.AddCert(c)
	}
	return &Identity{Certificate: cert, Roots: pool}, nil
}

// MemorySource is a TLSSource in memory, for demos and tests.
type MemorySource struct {
	id atomic.Pointer[Identity]
}

// NewMemorySource returns a source with the given identity.
func NewMemorySource(id *Identity) *MemorySource {
	s := &MemorySource{}
	s.id.Store(id)
	return s
}

// Identity returns the current identity.
func (s *MemorySource) Identity() *Identity { return s.id.Load() }

// Set replaces the current identity.
func (s *MemorySource) Set(id *Identity) { s.id.Store(id) }

// IssueSource issues a certificate for an instance on the loopback addresses and
// returns a source that trusts only this authority.
func (a *Authority) IssueSource(instance string) (*MemorySource, error) {
	return a.IssueSourceAt(instance, net.IPv4(127, 0, 0, 1), net.IPv6loopback)
}

// IssueSourceAt issues a certificate for an instance on the given addresses and
// returns a source that trusts only this authority.
func (a *Authority) IssueSourceAt(instance string, ips ...net.IP) (*MemorySource, error) {
	cert, err := a.Issue(instance, ips...)
	if err != nil {
		return nil, err
	}
	id, err := NewIdentity(a.CertificatePEM(), cert.CertificatePEM, cert.KeyPEM)
	if err != nil {
		return nil, err
	}
	return NewMemorySource(id), nil
}

// FileSource is a TLSSource that is read from PEM files.
type FileSource struct {
	MemorySource
	ca, cert, key string
}

// NewFileSource reads the files. The file ca may hold several certificates, so that
// both the old and the new CA are trusted during a rotation.
func NewFileSource(ca, cert, key string) (*FileSource, error) {
	s := &FileSource{ca: ca, cert: cert, key: key}
	if err := s.Reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Reload reads the files again. On an error, the previous identity stays.
func (s *FileSource) Reload() error {
	var pems [3][]byte
	for i, name := range []string{s.ca, s.cert, s.key} {
		data, err := os.ReadFile(name)
		if err != nil {
			return keyError("reload", err)
		}
		pems[i] = data
	}
	id, err := NewIdentity(pems[0], pems[1], pems[2])
	if err != nil {
		return err
	}
	s.Set(id)
	return nil
}

// serverConfig returns a configuration that verifies client certificates against the
// trusted CAs at the time of each handshake.
func serverConfig(src TLSSource) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			id := src.Identity()
			return &tls.Config{
				MinVersion: tls.VersionTLS13,
				NextProtos: []string{alpn},
				// Go's default key exchange also includes ML-KEM, which doubles the bytes
				// of a handshake.
				CurvePreferences: keyExchanges,
				Certificates:     []tls.Certificate{id.Certificate},
				ClientAuth:       tls.RequireAndVerifyClientCert,
				ClientCAs:        id.Roots,
				// A resumed session would skip the verification of the certificate.
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// keyExchanges are the key exchanges of links. Each instance of a large deployment sets up
// a link to the owner of every server that its callers use, so that their handshakes are a
// large part of the traffic between regions after a start.
var keyExchanges = []tls.CurveID{tls.X25519}

// clientConfig returns a configuration that verifies that the server's certificate is
// valid for host, the dialed IP address.
func clientConfig(id *Identity, host string) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{alpn},
		CurvePreferences:       keyExchanges,
		Certificates:           []tls.Certificate{id.Certificate},
		RootCAs:                id.Roots,
		ServerName:             host,
		SessionTicketsDisabled: true,
	}
}

// leaf returns the parsed certificate of the identity.
func (id *Identity) leaf() (*x509.Certificate, error) {
	if id.Certificate.Leaf != nil {
		return id.Certificate.Leaf, nil
	}
	if len(id.Certificate.Certificate) == 0 {
		return nil, errors.New("no certificate")
	}
	return x509.ParseCertificate(id.Certificate.Certificate[0])
}

// Verify returns an error unless the identity's certificate is valid now and issued by
// a trusted CA. Peers reject an identity that fails this check.
func (id *Identity) Verify() error {
	leaf, err := id.leaf()
	if err == nil {
		err = id.verifyCert(leaf)
	}
	if err != nil {
		return keyError("verify", err)
	}
	return nil
}

// trusts reports whether a peer's certificate is valid now and issued by a trusted CA.
func (id *Identity) trusts(cert *x509.Certificate) bool {
	return id.verifyCert(cert) == nil
}

func (id *Identity) verifyCert(cert *x509.Certificate) error {
	_, err := cert.Verify(x509.VerifyOptions{
		Roots:     id.Roots,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}

// resetKey derives the QUIC stateless reset key from the private key, so that a
// restarted process can end the connections of its predecessor at once.
func (id *Identity) resetKey() (*quic.StatelessResetKey, error) {
	der, err := x509.MarshalPKCS8PrivateKey(id.Certificate.PrivateKey)
	if err != nil {
		return nil, keyError("reset key", err)
	}
	var key quic.StatelessResetKey
	sum, err := hkdf.Key(sha256.New, der, nil, "gentianward stateless reset", len(key))
	if err != nil {
		return nil, keyError("reset key", err)
	}
	copy(key[:], sum)
	return &key, nil
}
