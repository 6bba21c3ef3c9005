package gwpeer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// Lifetimes of certificates. They are valid from clockSkew before they are issued, so
// that instances whose clocks are behind by less than that accept them at once.
const (
	AuthorityLifetime = 10 * 365 * 24 * time.Hour
	InstanceLifetime  = 365 * 24 * time.Hour

	clockSkew = time.Hour

	pemCertificate = "CERTIFICATE"
	pemKey         = "PRIVATE KEY"
)

// Authority is the private CA of a deployment; it issues the certificates
// that instances present to each other.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// Certificate is an issued certificate and its private key, both in PEM.
type Certificate struct {
	CertificatePEM []byte
	KeyPEM         []byte
}

// NewAuthority creates an ECDSA P-256 CA whose subject is name.
func NewAuthority(name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, keyError("new authority", err)
	}
	return selfSigned(name, key)
}

// SharedAuthority derives a CA from a name and a secret, for deployments in which no
// files can be distributed: every process with the same name and secret gets the same
// CA key. Anyone who knows the secret can issue certificates.
func SharedAuthority(name string, secret []byte) (*Authority, error) {
	curve := elliptic.P256()
	// 8 bytes longer than the group order, so that the bias of the reduction is negligible.
	raw, err := hkdf.Key(sha256.New, secret, nil, "gentianward shared authority "+name, p256KeyBytes+8)
	if err != nil {
		return nil, keyError("shared authority", err)
	}
	one := big.NewInt(1)
	d := new(big.Int).SetBytes(raw)
	d.Mod(d, new(big.Int).Sub(curve.Params().N, one)).Add(d, one)
	key, err := ecdsa.ParseRawPrivateKey(curve, d.FillBytes(make([]byte, p256KeyBytes)))
	if err != nil {
		return nil, keyError("shared authority", err)
	}
	return selfSigned(name, key)
}

// p256KeyBytes is the length of a P-256 private key.
const p256KeyBytes = 32

func selfSigned(name string, key *ecdsa.PrivateKey) (*Authority, error) {
	tmpl, err := certTemplate(name, AuthorityLifetime)
	if err != nil {
		return nil, keyError("new authority", err)
	}
	tmpl.IsCA = true
	tmpl.BasicConstraintsValid = true
	tmpl.MaxPathLenZero = true
	tmpl.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, key.Public(), key)
	if err != nil {
		return nil, keyError("new authority", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, keyError("new authority", err)
	}
	return &Authority{cert: cert, key: key}, nil
}

// LoadAuthority reads a CA from the PEM of its certificate and key.
func LoadAuthority(certPEM, keyPEM []byte) (*Authority, error) {
	certs, err := parseCertificates(certPEM)
	if err != nil {
		return nil, keyError("load authority", err)
	}
	block, _ := pem.Decode(keyPEM)
	if block == nil || block.Type != pemKey {
		return nil, keyError("load authority", errors.Newf("the key file has no %q block", pemKey))
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, keyError("load authority", err)
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok {
		return nil, keyError("load authority", errors.Newf("the key is a %T, not an ECDSA key", parsed))
	}
	cert := certs[0]
	if !cert.IsCA || !key.PublicKey.Equal(cert.PublicKey) {
		return nil, keyError("load authority", errors.New("the certificate is not a CA certificate or does not match the key"))
	}
	return &Authority{cert: cert, key: key}, nil
}

// CertificatePEM returns the CA's certificate in PEM, which peers must trust.
func (a *Authority) CertificatePEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: pemCertificate, Bytes: a.cert.Raw})
}

// KeyPEM returns the CA's private key in PEM.
func (a *Authority) KeyPEM() ([]byte, error) { return marshalKey(a.key) }

// Issue creates a key and a certificate for an instance reachable at ips.
func (a *Authority) Issue(instance string, ips ...net.IP) (Certificate, error) {
	return a.issue(instance, func(c *x509.Certificate) {
		c.IPAddresses = ips
		c.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	})
}

// IssueOperator creates a key and a certificate with which an operator calls
// instances. Instances do not accept it as the certificate of an instance.
func (a *Authority) IssueOperator(name string) (Certificate, error) {
	return a.issue(name, func(c *x509.Certificate) {
		c.Subject.OrganizationalUnit = []string{operatorUnit}
		c.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	})
}

func (a *Authority) issue(name string, configure func(*x509.Certificate)) (Certificate, error) {
	if name == "" {
		return Certificate{}, keyError("issue", errors.New("the name is empty"))
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Certificate{}, keyError("issue", err)
	}
	tmpl, err := certTemplate(name, InstanceLifetime)
	if err != nil {
		return Certificate{}, keyError("issue", err)
	}
	tmpl.KeyUsage = x509.KeyUsageDigitalSignature
	configure(tmpl)
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, key.Public(), a.key)
	if err != nil {
		return Certificate{}, keyError("issue", err)
	}
	keyPEM, err := marshalKey(key)
	if err != nil {
		return Certificate{}, keyError("issue", err)
	}
	certPEM := pem.EncodeToMemory(&pem.Block{Type: pemCertificate, Bytes: der})
	return Certificate{CertificatePEM: certPEM, KeyPEM: keyPEM}, nil
}

func certTemplate(name string, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127))
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name, Organization: []string{"gentianward"}},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(lifetime),
	}, nil
}

func marshalKey(key *ecdsa.PrivateKey) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, err
	}
	return pem.EncodeToMemory(&pem.Block{Type: pemKey, Bytes: der}), nil
}

// parseCertificates returns all certificates of a PEM text; none is an error.
func parseCertificates(text []byte) ([]*x509.Certificate, error) {
	var certs []*x509.Certificate
	for {
		var block *pem.Block
		block, text = pem.Decode(text)
		if block == nil {
			break
		}
		if block.Type != pemCertificate {
			continue
		}
		cert, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, err
		}
		certs = append(certs, cert)
	}
	if len(certs) == 0 {
		return nil, errors.Newf("no %q block", pemCertificate)
	}
	return certs, nil
}

func keyError(op string, err error) *Error { return newError(op, KindKeys, "", err) }
