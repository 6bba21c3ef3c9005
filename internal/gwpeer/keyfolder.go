package gwpeer

import (
	"bytes"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Names of the files in a key folder. An instance or operator has NAME.pem and
// NAME.key.
const (
	caFile    = "ca.pem" // certificates of the trusted CAs, the issuing one first
	caKeyFile = "ca.key" // private key of the issuing CA
	caName    = "ca"

	maxArchives = 100 // renamed copies of one file whose names contain the same second
)

// KeyFolder is a folder with the CA of a deployment and the certificates that it
// issued. No file in it is ever overwritten: replaced files are renamed.
type KeyFolder struct {
	Path string
	Now  time.Time // part of the new names of replaced files
}

// Init creates the folder and a CA in it and returns the paths of the files written.
func (k KeyFolder) Init(name string) ([]string, error) {
	if err := os.MkdirAll(k.Path, 0o700); err != nil {
		return nil, keyError("init", err)
	}
	for _, f := range []string{caFile, caKeyFile} {
		if err := k.checkAbsent(f); err != nil {
			return nil, err
		}
	}
	a, err := NewAuthority(name)
	if err != nil {
		return nil, err
	}
	return k.writeAuthority(a, nil)
}

// Issue creates the certificate and key of an instance reachable at ips. If renew is
// true, existing files are renamed, else they are an error.
func (k KeyFolder) Issue(instance string, ips []net.IP, renew bool) ([]string, error) {
	if len(ips) == 0 {
		return nil, keyError("issue", errors.New("at least one IP address is required"))
	}
	return k.issue(instance, renew, func(a *Authority) (Certificate, error) { return a.Issue(instance, ips...) })
}

// IssueOperator creates the certificate and key of an operator; renew is as in Issue.
func (k KeyFolder) IssueOperator(name string, renew bool) ([]string, error) {
	return k.issue(name, renew, func(a *Authority) (Certificate, error) { return a.IssueOperator(name) })
}

func (k KeyFolder) issue(name string, renew bool, issue func(*Authority) (Certificate, error)) ([]string, error) {
	if name == caName || name != filepath.Base(name) || strings.HasPrefix(name, ".") {
		return nil, keyError("issue", errors.Newf("%q is not a valid name of an instance or operator", name))
	}
	a, err := k.Authority()
	if err != nil {
		return nil, err
	}
	cert, err := issue(a)
	if err != nil {
		return nil, err
	}
	certFile, keyFile := name+".pem", name+".key"
	for _, f := range []string{certFile, keyFile} {
		if renew {
			err = k.archive(f)
		} else {
			err = k.checkAbsent(f)
		}
		if err != nil {
			return nil, err
		}
	}
	return k.write(map[string][]byte{certFile: cert.CertificatePEM, keyFile: cert.KeyPEM}, keyFile, certFile)
}

// Rotate creates a new CA that issues all later certificates. The previous CAs stay
// trusted until Finish.
func (k KeyFolder) Rotate(name string) ([]string, error) {
	if _, err := k.Authority(); err != nil {
		return nil, err
	}
	trusted, err := os.ReadFile(k.file(caFile))
	if err != nil {
		return nil, keyError("rotate", err)
	}
	a, err := NewAuthority(name)
	if err != nil {
		return nil, err
	}
	for _, f := range []string{caKeyFile, caFile} {
		if err := k.archive(f); err != nil {
			return nil, err
		}
	}
	return k.writeAuthority(a, trusted)
}

// Finish ends a rotation: from then on only the issuing CA is trusted.
func (k KeyFolder) Finish() ([]string, error) {
	a, err := k.Authority()
	if err != nil {
		return nil, err
	}
	if err := k.archive(caFile); err != nil {
		return nil, err
	}
	return k.write(map[string][]byte{caFile: a.CertificatePEM()}, caFile)
}

// Authority loads the issuing CA.
func (k KeyFolder) Authority() (*Authority, error) {
	cert, err := os.ReadFile(k.file(caFile))
	if err != nil {
		return nil, keyError("load authority", err)
	}
	key, err := os.ReadFile(k.file(caKeyFile))
	if err != nil {
		return nil, keyError("load authority", err)
	}
	return LoadAuthority(cert, key)
}

func (k KeyFolder) file(name string) string { return filepath.Join(k.Path, name) }

func (k KeyFolder) writeAuthority(a *Authority, trusted []byte) ([]string, error) {
	key, err := a.KeyPEM()
	if err != nil {
		return nil, err
	}
	bundle := bytes.Join([][]byte{a.CertificatePEM(), trusted}, nil)
	return k.write(map[string][]byte{caKeyFile: key, caFile: bundle}, caKeyFile, caFile)
}

// write creates files in the given order; only the owner can read key files.
func (k KeyFolder) write(contents map[string][]byte, order ...string) ([]string, error) {
	var written []string
	for _, name := range order {
		mode := fs.FileMode(0o644)
		if strings.HasSuffix(name, ".key") {
			mode = 0o600
		}
		if err := createFile(k.file(name), contents[name], mode); err != nil {
			return written, keyError("write", err)
		}
		written = append(written, k.file(name))
	}
	return written, nil
}

func createFile(path string, data []byte, mode fs.FileMode) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, mode)
	if err != nil {
		return err
	}
	if _, err := f.Write(data); err != nil {
		f.Close()
		return err
	}
	if err := f.Sync(); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

func (k KeyFolder) checkAbsent(name string) error {
	_, err := os.Lstat(k.file(name))
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil
	case err != nil:
		return keyError("write", err)
	default:
		return keyError("write", errors.Newf("%s already exists and is not overwritten", k.file(name)))
	}
}

// archive renames a file, if it exists, to an unused name that contains the time.
func (k KeyFolder) archive(name string) error {
	if _, err := os.Lstat(k.file(name)); errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	ext := filepath.Ext(name)
	stem := strings.TrimSuffix(name, ext) + "-" + k.Now.UTC().Format("20060102T150405")
	old := stem + ext + ".old"
	for i := 2; k.checkAbsent(old) != nil; i++ {
		if i > maxArchives {
			return k.checkAbsent(old)
		}
		old = stem + "-" + strconv.Itoa(i) + ext + ".old"
	}
	if err := os.Rename(k.file(name), k.file(old)); err != nil {
		return keyError("write", err)
	}
	return nil
}
