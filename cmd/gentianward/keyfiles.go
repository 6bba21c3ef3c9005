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

// keyCheckInterval is how often the key files are checked for changes.
const keyCheckInterval = 10 * time.Second

// keyFiles holds the keys and certificates that an instance reads from PEM files, and
// reads again on SIGHUP or when the files have changed.
type keyFiles struct {
	log            *slog.Logger
	files          []string
	lastDigest     []byte // digest of the files at the last attempt to read them
	peerKeys       *gwpeer.FileSource
	callerTLSFiles *gwmanifest.TLSFiles
	callerCert     atomic.Pointer[tls.Certificate]
}

func openKeyFiles(s *gwmanifest.Settings, log *slog.Logger) (*keyFiles, error) {
	k := &keyFiles{log: log, files: []string{s.Keys.CA, s.Keys.Certificate, s.Keys.Key}, callerTLSFiles: s.CallerTLS}
	if s.CallerTLS != nil {
		k.files = append(k.files, s.CallerTLS.Certificate, s.CallerTLS.Key)
	}
	k.lastDigest = k.digest()
	peerKeys, err := gwpeer.NewFileSource(s.Keys.CA, s.Keys.Certificate, s.Keys.Key)
	if err != nil {
		return nil, err
	}
	k.peerKeys = peerKeys
	k.warnIfRefused()
	return k, k.loadCallerCert()
}

func (k *keyFiles) loadCallerCert() error {
	if k.callerTLSFiles == nil {
		return nil
	}
	cert, err := tls.LoadX509KeyPair(k.callerTLSFiles.Certificate, k.callerTLSFiles.Key)
	if err != nil {
		return err
	}
	k.callerCert.Store(&cert)
	return nil
}

// callerTLS returns the TLS configuration for callers, nil if the settings name no
// certificate. Each handshake uses the certificate that was loaded last.
func (k *keyFiles) callerTLS() *tls.Config {
	if k.callerTLSFiles == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return k.callerCert.Load(), nil },
	}
}

// reload reads all files again. Keys that cannot be loaded are logged, and the previous
// ones stay in use.
func (k *keyFiles) reload() {
	k.lastDigest = k.digest()
	peerErr := k.peerKeys.Reload()
	if peerErr != nil {
		k.log.Error("keys for peers not reloaded", "error", peerErr.Error())
	} else {
		k.warnIfRefused()
	}
	callerErr := k.loadCallerCert()
	if callerErr != nil {
		k.log.Error("certificate for callers not reloaded", "error", callerErr.Error())
	}
	if peerErr == nil && callerErr == nil {
		k.log.Info("key files read")
	}
}

// reloadChanged reloads if the files have changed since the last attempt.
func (k *keyFiles) reloadChanged() {
	if d := k.digest(); !bytes.Equal(d, k.lastDigest) {
		k.reload()
	}
}

// warnIfRefused logs a warning if other instances will refuse the certificate, because it
// is not valid now or not issued by a trusted CA.
func (k *keyFiles) warnIfRefused() {
	if err := k.peerKeys.Identity().Verify(); err != nil {
		k.log.Warn("other instances will refuse the certificate", "error", err.Error())
	}
}

// digest returns a hash of the files' content; a missing file counts as empty.
func (k *keyFiles) digest() []byte {
	h := sha256.New()
	for _, name := range k.files {
		text, _ := os.ReadFile(name)
		sum := sha256.Sum256(text)
		h.Write(sum[:])
	}
	return h.Sum(nil)
}
