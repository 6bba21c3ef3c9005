package main

import (
	"bytes"
	"crypto/sha256"
	"crypto/tls"
	"log/slog"
	"os"
	"sync/atomic"
	"time"

	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/internal/gwpeer"
)

// keyCheckInterval is how often the key files are compared with what was read.
const keyCheckInterval = 10 * time.Second

// keyFiles holds what an instance reads from PEM files and reads again later.
type keyFiles struct {
	log     *slog.Logger
	files   []string
	seen    []byte // digest of the files at the last attempt to read them
	links   *gwpeer.FileSource
	tls     *gwmanifest.TLSFiles
	callers atomic.Pointer[tls.Certificate]
}

func openKeyFiles(s *gwmanifest.Settings, log *slog.Logger) (*keyFiles, error) {
	k := &keyFiles{log: log, files: []string{s.Keys.CA, s.Keys.Certificate, s.Keys.Key}, tls: s.CallerTLS}
	if s.CallerTLS != nil {
		k.files = append(k.files, s.CallerTLS.Certificate, s.CallerTLS.Key)
	}
	k.seen = k.digest()
	links, err := gwpeer.NewFileSource(s.Keys.CA, s.Keys.Certificate, s.Keys.Key)
	if err != nil {
		return nil, err
	}
	k.links = links
	k.warn()
	return k, k.readCallers()
}

func (k *keyFiles) readCallers() error {
	if k.tls == nil {
		return nil
	}
	cert, err := tls.LoadX509KeyPair(k.tls.Certificate, k.tls.Key)
	if err != nil {
		return err
	}
	k.callers.Store(&cert)
	return nil
}

// callerTLS returns the configuration of the callers' protocol, nil without a
// certificate; each handshake uses the certificate that was read last.
func (k *keyFiles) callerTLS() *tls.Config {
	if k.tls == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return k.callers.Load(), nil },
	}
}

// reload reads all files; what cannot be used stays as it was.
func (k *keyFiles) reload() {
	k.seen = k.digest()
	if err := k.links.Reload(); err != nil {
		k.log.Error("keys of the links not reloaded", "error", err.Error())
	} else {
		k.warn()
	}
	if err := k.readCallers(); err != nil {
		k.log.Error("certificate for callers not reloaded", "error", err.Error())
	}
	k.log.Info("key files read")
}

// reloadChanged reloads when the files differ from the last attempt.
func (k *keyFiles) reloadChanged() {
	if d := k.digest(); !bytes.Equal(d, k.seen) {
		k.reload()
	}
}

// warn reports a certificate that other instances will refuse.
func (k *keyFiles) warn() {
	if err := k.links.Identity().Verify(); err != nil {
		k.log.Warn("other instances will refuse the certificate", "error", err.Error())
	}
}

// digest identifies the content of the files; a missing file counts as empty.
func (k *keyFiles) digest() []byte {
	h := sha256.New()
	for _, name := range k.files {
		text, _ := os.ReadFile(name)
		sum := sha256.Sum256(text)
		h.Write(sum[:])
	}
	return h.Sum(nil)
}
