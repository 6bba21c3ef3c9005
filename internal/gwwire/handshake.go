package gwwire

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	maxStartupBytes = 10_000 // as in PostgreSQL

	codeSSLRequest    = 80877103
	codeGSSRequest    = 80877104
	codeCancelRequest = 80877102
	protocolMajor     = 3

	// lingerTimeout limits how long input is discarded after a fatal error while the
	// caller closes the connection. Closing with unread input would reset the
	// connection, possibly before the error has reached the caller.
	lingerTimeout = 200 * time.Millisecond
	lingerBytes   = 1 << 20
)

// defaultParameters are the parameters reported at startup unless Options.Parameters
// overrides them. Drivers depend on several of them.
var defaultParameters = map[string]string{
	"server_version":              "16.0",
	"server_encoding":             "UTF8",
	"client_encoding":             "UTF8",
	"DateStyle":                   "ISO, MDY",
	"IntervalStyle":               "postgres",
	"TimeZone":                    "UTC",
	"integer_datetimes":           "on",
	"standard_conforming_strings": "on",
}

// handshake performs startup and authentication. It returns the connection to use,
// which differs from nc under TLS. After a cancel request it returns no error and
// leaves c without a session.
func (s *Server) handshake(nc net.Conn, c *conn) (net.Conn, error) {
	limits := s.limits.Load()
	ctx, cancel := context.WithTimeout(s.ctx, limits.Handshake)
	defer cancel()
	_ = nc.SetDeadline(time.Now().Add(limits.Handshake))
	nc, body, err := s.negotiate(ctx, nc)
	if err != nil || body == nil {
		return nc, err
	}
	if s.draining.Load() {
		err = newError("start session", KindShutdown, codeAdminShutdown, errShutdown)
	} else {
		err = s.openSession(ctx, nc, c, body)
	}
	if err != nil {
		sendFatal(nc, err)
		return nc, err
	}
	_ = nc.SetDeadline(time.Time{})
	return nc, nil
}

// negotiate handles the TLS, GSSAPI and cancel requests that precede the startup message.
// It returns the body of the startup message, or nil after a cancel request.
func (s *Server) negotiate(ctx context.Context, nc net.Conn) (net.Conn, []byte, error) {
	tlsRequested, gssRequested := false, false
	for {
		body, err := readStartup(nc)
		if err != nil {
			return nc, nil, err
		}
		switch code := binary.BigEndian.Uint32(body); {
		case code == codeSSLRequest && !tlsRequested:
			tlsRequested = true
			if s.options.TLS == nil {
				if _, err := nc.Write([]byte{'N'}); err != nil {
					return nc, nil, newError("start session", KindNetwork, "", err)
				}
				continue
			}
			if _, err := nc.Write([]byte{'S'}); err != nil {
				return nc, nil, newError("start session", KindNetwork, "", err)
			}
			tc := tls.Server(nc, s.options.TLS)
			if err := tc.HandshakeContext(ctx); err != nil {
				return nc, nil, newError("start TLS", KindInput, "", err)
			}
			nc = tc
		case code == codeGSSRequest && !gssRequested:
			gssRequested = true
			if _, err := nc.Write([]byte{'N'}); err != nil {
				return nc, nil, newError("start session", KindNetwork, "", err)
			}
		case code == codeCancelRequest:
			s.handleCancelRequest(body)
			return nc, nil, nil
		case code>>16 == protocolMajor:
			return nc, body, nil
		default:
			err := newError("start session", KindInput, codeFeatureUnsupported, errors.Newf("unsupported protocol version %d.%d", code>>16, code&0xffff))
			sendFatal(nc, err)
			return nc, nil, err
		}
	}
}

// readStartup reads one message without a type byte and no byte beyond it: what follows
// an SSLRequest must be read through TLS.
func readStartup(r io.Reader) ([]byte, error) {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return nil, newError("start session", KindNetwork, "", err)
	}
	n := binary.BigEndian.Uint32(size[:])
	if n < 8 || n > maxStartupBytes {
		return nil, newError("start session", KindInput, "", errors.Newf("invalid length %d of the startup message", n))
	}
	body := make([]byte, n-4)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, newError("start session", KindNetwork, "", err)
	}
	return body, nil
}

func (s *Server) handleCancelRequest(body []byte) {
	if len(body) != 12 {
		return
	}
	key := CancelKey{ProcessID: binary.BigEndian.Uint32(body[4:]), Secret: binary.BigEndian.Uint32(body[8:])}
	if s.Cancel(key) || s.options.CancelForwarder == nil {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, s.limits.Load().CancelForwarding)
	defer cancel()
	s.options.CancelForwarder.ForwardCancel(ctx, key)
}

// openSession authenticates the caller and creates its session.
func (s *Server) openSession(ctx context.Context, nc net.Conn, c *conn, body []byte) error {
	st, unknown, err := parseStartup(body)
	if err != nil {
		return err
	}
	_, st.TLS = nc.(*tls.Conn)
	st.Remote = nc.RemoteAddr()
	c.user, c.database = st.User, st.Database
	if limit := s.limits.Load().Connections; s.openConns.Load() > int64(limit) {
		return newError("start session", KindLimit, codeTooManyConnections, errors.Newf("too many connections, limit %d", limit))
	}
	if minor := binary.BigEndian.Uint32(body) & 0xffff; minor > 0 || len(unknown) > 0 {
		m := &pgproto3.NegotiateProtocolVersion{NewestMinorProtocol: protocolMajor << 16, UnrecognizedOptions: unknown}
		if err := send(nc, m); err != nil {
			return err
		}
	}
	if err := s.authenticate(ctx, nc, st); err != nil {
		return err
	}
	session, err := s.options.Handler.Authenticate(ctx, st)
	if err != nil {
		return &Error{Op: "authenticate caller", Kind: KindHandler, Code: pgError(err).Code, Err: err}
	}
	c.register(nc, session)
	return s.sendStartupResponse(nc, c)
}

// sendStartupResponse sends the messages that follow a successful authentication:
// AuthenticationOk, the parameters, the cancel key and ReadyForQuery.
func (s *Server) sendStartupResponse(nc net.Conn, c *conn) error {
	messages := []pgproto3.BackendMessage{&pgproto3.AuthenticationOk{}}
	for name, value := range defaultParameters {
		if _, ok := s.options.Parameters[name]; !ok {
			messages = append(messages, &pgproto3.ParameterStatus{Name: name, Value: value})
		}
	}
	for name, value := range s.options.Parameters {
		messages = append(messages, &pgproto3.ParameterStatus{Name: name, Value: value})
	}
	secret := binary.BigEndian.AppendUint32(nil, c.key.Secret)
	messages = append(messages, &pgproto3.BackendKeyData{ProcessID: c.key.ProcessID, SecretKey: secret},
		&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return send(nc, messages...)
}

// parseStartup decodes the body of a startup message. unknown lists the protocol options
// that it requests; no such option is supported.
func parseStartup(body []byte) (st Startup, unknown []string, err error) {
	st.Parameters = make(map[string]string)
	fields := strings.Split(string(body[4:]), "\x00")
	// Each string and the list itself end with a NUL, so the split yields two empty
	// strings at the end.
	if n := len(fields); n < 2 || n%2 != 0 || fields[n-1] != "" || fields[n-2] != "" {
		return st, nil, newError("start session", KindInput, codeProtocolViolation, errors.Wrap(errMalformed, "startup message"))
	}
	fields = fields[:len(fields)-2]
	for pair := range slices.Chunk(fields, 2) {
		switch name, value := pair[0], pair[1]; {
		case name == "user":
			st.User = value
		case name == "database":
			st.Database = value
		case name == "replication" && !isFalse(value):
			return st, nil, newError("start session", KindInput, codeFeatureUnsupported, errors.New("replication connections are not supported"))
		case strings.HasPrefix(name, "_pq_."):
			unknown = append(unknown, name)
		case name == "options":
			parseOptions(value, st.Parameters)
		default:
			st.Parameters[name] = value
		}
	}
	if st.User == "" {
		return st, nil, newError("start session", KindInput, codeInvalidAuth, errNoUser)
	}
	if st.Database == "" {
		st.Database = st.User
	}
	return st, unknown, nil
}

func isFalse(value string) bool {
	return slices.Contains([]string{"false", "0", "off", "no"}, value)
}

// parseOptions adds the settings "-c name=value", "-cname=value" and "--name=value" in
// the startup parameter "options" to settings. A backslash escapes the next character.
func parseOptions(options string, settings map[string]string) {
	words := splitOptions(options)
	for i := 0; i < len(words); i++ {
		setting, ok := strings.CutPrefix(words[i], "--")
		if !ok {
			if setting, ok = strings.CutPrefix(words[i], "-c"); !ok {
				continue
			}
			if setting == "" && i+1 < len(words) {
				i++
				setting = words[i]
			}
		}
		if name, value, ok := strings.Cut(setting, "="); ok {
			settings[name] = value
		}
	}
}

// splitOptions splits s at unescaped white space and removes the escaping backslashes.
func splitOptions(s string) []string {
	var words []string
	var word []byte
	escaped := false
	for i := range len(s) {
		switch b := s[i]; {
		case escaped:
			word = append(word, b)
			escaped = false
		case b == '\\':
			escaped = true
		case b == ' ' || b >= '\t' && b <= '\r':
			if len(word) > 0 {
				words = append(words, string(word))
				word = word[:0]
			}
		default:
			word = append(word, b)
		}
	}
	if len(word) > 0 {
		words = append(words, string(word))
	}
	return words
}

func send(nc net.Conn, messages ...pgproto3.BackendMessage) error {
	var b []byte
	for _, m := range messages {
		var err error
		if b, err = m.Encode(b); err != nil {
			return newError("start session", KindNetwork, "", err)
		}
	}
	if _, err := nc.Write(b); err != nil {
		return newError("start session", KindNetwork, "", err)
	}
	return nil
}

// sendFatal reports err to the caller as a fatal error and waits up to lingerTimeout for
// the caller to close the connection. It sends nothing after a network error or if err
// has no SQLSTATE.
func sendFatal(nc net.Conn, err error) {
	var e *Error
	if errors.As(err, &e) && (e.Kind == KindNetwork || e.Code == "") {
		return
	}
	_ = nc.SetDeadline(time.Now().Add(lingerTimeout))
	if err := send(nc, errorResponse(pgError(err))); err != nil {
		return
	}
	if cw, ok := nc.(interface{ CloseWrite() error }); ok {
		_ = cw.CloseWrite()
	}
	_, _ = io.CopyN(io.Discard, nc, lingerBytes)
}
