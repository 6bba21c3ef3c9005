package gwwire

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"
)

const (
	scramMechanism  = "SCRAM-SHA-256"
	scramSaltBytes  = 16
	scramIterations = 4096 // PostgreSQL's default
	maxSASLBytes    = 4096
)

// Verifier is a SCRAM-SHA-256 verifier, which is stored instead of a password.
type Verifier struct {
	Salt                 []byte
	Iterations           int
	StoredKey, ServerKey []byte
}

// ParseVerifier parses a verifier of the form
// "SCRAM-SHA-256$iterations:salt$StoredKey:ServerKey", as PostgreSQL stores it, with
// the binary fields in base64.
func ParseVerifier(s string) (Verifier, error) {
	parts := strings.FieldsFunc(s, func(r rune) bool { return r == '$' || r == ':' })
	if len(parts) != 5 || parts[0] != scramMechanism {
		return Verifier{}, errors.New("verifier does not have the form SCRAM-SHA-256$iterations:salt$StoredKey:ServerKey")
	}
	var v Verifier
	var err error
	if v.Iterations, err = strconv.Atoi(parts[1]); err != nil || v.Iterations < 1 {
		return Verifier{}, errors.Newf("verifier: invalid iteration count %q", parts[1])
	}
	for i, field := range []*[]byte{&v.Salt, &v.StoredKey, &v.ServerKey} {
		if *field, err = base64.StdEncoding.DecodeString(parts[i+2]); err != nil {
			return Verifier{}, errors.Wrapf(err, "verifier: invalid base64 in field %d", i+3)
		}
	}
	if len(v.StoredKey) != sha256.Size || len(v.ServerKey) != sha256.Size {
		return Verifier{}, errors.New("verifier: StoredKey and ServerKey must have 32 bytes each")
	}
	return v, nil
}

// String formats v in the form that ParseVerifier accepts.
func (v Verifier) String() string {
	b64 := base64.StdEncoding.EncodeToString
	return scramMechanism + "$" + strconv.Itoa(v.Iterations) + ":" + b64(v.Salt) + "$" + b64(v.StoredKey) + ":" + b64(v.ServerKey)
}

// NewVerifier returns a verifier for the password with a random salt.
func NewVerifier(password string) (Verifier, error) {
	salt := make([]byte, scramSaltBytes)
	_, _ = rand.Read(salt)
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return Verifier{}, errors.Wrap(err, "create verifier")
	}
	c, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: scramIterations})
	if err != nil {
		return Verifier{}, errors.Wrap(err, "create verifier")
	}
	return Verifier{Salt: salt, Iterations: scramIterations, StoredKey: c.StoredKey, ServerKey: c.ServerKey}, nil
}

// mockKey returns the random key of this process from which mockVerifier derives
// salts.
var mockKey = sync.OnceValue(func() []byte {
	b := make([]byte, sha256.Size)
	_, _ = rand.Read(b)
	return b
})

// mockVerifier returns a verifier that no password matches, for callers that do not
// exist. Its salt is the same for each exchange with the same user name, so that the
// exchange does not reveal whether the caller exists.
func mockVerifier(user string) Verifier {
	mac := hmac.New(sha256.New, mockKey())
	_, _ = mac.Write([]byte(user))
	sum := mac.Sum(nil)
	keys := make([]byte, 2*sha256.Size)
	_, _ = rand.Read(keys)
	return Verifier{
		Salt: sum[:scramSaltBytes], Iterations: scramIterations,
		StoredKey: keys[:sha256.Size], ServerKey: keys[sha256.Size:],
	}
}

// authenticate verifies the identity of the caller with SCRAM-SHA-256. A trusted caller
// needs no password over loopback if Options.TrustLoopback is set.
func (s *Server) authenticate(ctx context.Context, nc net.Conn, st Startup) error {
	cred, known, err := s.options.LookupCredential(ctx, st)
	if err != nil {
		return &Error{Op: "authenticate caller", Kind: KindAuth, Code: pgError(err).Code, Err: err}
	}
	if known && cred.Trust {
		if s.options.TrustLoopback && isLoopback(st.Remote) {
			return nil
		}
		return newError("authenticate caller", KindAuth, codeInvalidAuth,
			errors.Newf("caller %q may connect only over loopback, and only if the instance allows it", st.User))
	}
	v := mockVerifier(st.User)
	if known {
		if v, err = ParseVerifier(cred.Verifier); err != nil {
			return newError("authenticate caller", KindAuth, codeInvalidAuth, errors.Wrapf(err, "caller %q", st.User))
		}
	}
	ok, err := verifySCRAM(nc, v)
	if err != nil {
		return err
	}
	if !ok || !known {
		return newError("authenticate caller", KindAuth, codeInvalidPassword,
			errors.Newf("password authentication failed for user %q", st.User))
	}
	return nil
}

func isLoopback(a net.Addr) bool {
	t, ok := a.(*net.TCPAddr)
	return ok && t.IP.IsLoopback()
}

// verifySCRAM runs the SCRAM exchange and reports whether the caller knows the
// password that belongs to v.
func verifySCRAM(nc net.Conn, v Verifier) (bool, error) {
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return scram.StoredCredentials{
			KeyFactors: scram.KeyFactors{Salt: string(v.Salt), Iters: v.Iterations},
			StoredKey:  v.StoredKey, ServerKey: v.ServerKey,
		}, nil
	})
	if err != nil {
		return false, newError("authenticate caller", KindAuth, codeInvalidAuth, err)
	}
	if err := send(nc, &pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}}); err != nil {
		return false, err
	}
	body, err := readSASLResponse(nc)
	if err != nil {
		return false, err
	}
	var first pgproto3.SASLInitialResponse
	if err := first.Decode(body); err != nil {
		return false, newError("authenticate caller", KindInput, codeProtocolViolation, err)
	}
	if first.AuthMechanism != scramMechanism {
		return false, newError("authenticate caller", KindInput, codeProtocolViolation, errors.Newf("unknown SASL mechanism %q", first.AuthMechanism))
	}
	conversation := server.NewConversation()
	challenge, err := conversation.Step(string(first.Data))
	if err != nil {
		return false, newError("authenticate caller", KindInput, codeProtocolViolation, errors.Wrap(err, "SCRAM"))
	}
	if err := send(nc, &pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)}); err != nil {
		return false, err
	}
	if body, err = readSASLResponse(nc); err != nil {
		return false, err
	}
	final, err := conversation.Step(string(body))
	if err != nil || !conversation.Valid() {
		return false, nil
	}
	return true, send(nc, &pgproto3.AuthenticationSASLFinal{Data: []byte(final)})
}

// readSASLResponse reads one SASL response and returns its body.
func readSASLResponse(r io.Reader) ([]byte, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, newError("authenticate caller", KindNetwork, "", err)
	}
	n := frameSize(header[:]) - headerBytes
	if header[0] != 'p' || n < 0 || n > maxSASLBytes {
		return nil, newError("authenticate caller", KindInput, codeProtocolViolation, errors.Newf("expected a SASL response, got message %q of %d bytes", header[0], n))
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, newError("authenticate caller", KindNetwork, "", err)
	}
	return body, nil
}
