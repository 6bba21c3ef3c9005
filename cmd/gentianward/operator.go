package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/tailscale/hujson"

	"gentianward.example/gentianward/internal/gwdaemon"
	"gentianward.example/gentianward/internal/gwpeer"
)

// exitUnreachable is the exit code if no answer arrived in time.
const exitUnreachable subcommands.ExitStatus = 3

// operatorUsage is the part of the usage text that all operator commands share.
const operatorUsage = `
  -to, -ca, -cert and -key name the instance's peer address and the PEM files of
  the CA and of the operator's certificate ("gentianward keys issue -operator").
  -operator FILE reads them from JSON with comments: {"to": "ip:port", "ca": ...,
  "certificate": ..., "key": ...}, with paths relative to the file; a flag
  overrides the value in the file.

  Exit codes: 0 done; 1 refused; 2 wrong usage, or a file cannot be read;
  3 unreachable or timed out.

`

// operatorFlags holds the flags of an operator command that connect it to an instance.
type operatorFlags struct {
	to, ca, cert, key, file string
	timeout                 time.Duration
	json                    bool
	out                     io.Writer // os.Stdout if nil
}

// operatorFile is the content of the file that -operator names.
type operatorFile struct {
	To          string `json:"to"`
	CA          string `json:"ca"`
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

func (o *operatorFlags) SetFlags(f *flag.FlagSet) {
	f.StringVar(&o.to, "to", "", "peer address of any instance, ip:port")
	f.StringVar(&o.ca, "ca", "", "PEM file of the trusted CAs")
	f.StringVar(&o.cert, "cert", "", "PEM file of the operator's certificate")
	f.StringVar(&o.key, "key", "", "PEM file of the operator's key")
	f.StringVar(&o.file, "operator", "", "file with the values of -to, -ca, -cert and -key")
	f.DurationVar(&o.timeout, "timeout", 10*time.Second, "time limit for the answer")
	f.BoolVar(&o.json, "json", false, "print JSON")
}

// complete fills in the flags that were not set from the file of -operator, and checks
// that none is missing.
func (o *operatorFlags) complete() error {
	if o.out == nil {
		o.out = os.Stdout
	}
	if o.file != "" {
		text, err := os.ReadFile(o.file)
		if err != nil {
			return err
		}
		if text, err = hujson.Standardize(text); err != nil {
			return fmt.Errorf("%s: %w", o.file, err)
		}
		var f operatorFile
		dec := json.NewDecoder(bytes.NewReader(text))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&f); err != nil {
			return fmt.Errorf("%s: %w; accepted fields: to, ca, certificate, key", o.file, err)
		}
		o.to = orElse(o.to, f.To)
		o.ca = orElse(o.ca, o.resolvePath(f.CA))
		o.cert = orElse(o.cert, o.resolvePath(f.Certificate))
		o.key = orElse(o.key, o.resolvePath(f.Key))
	}
	for _, f := range []struct{ flag, value string }{{"-to", o.to}, {"-ca", o.ca}, {"-cert", o.cert}, {"-key", o.key}} {
		if f.value == "" {
			return fmt.Errorf("%s is required, as a flag or in the file of -operator", f.flag)
		}
	}
	return nil
}

func (o *operatorFlags) resolvePath(path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(o.file), path)
}

func orElse(s, other string) string {
	if s != "" {
		return s
	}
	return other
}

// connect opens the node from which a command calls its instance.
func (o *operatorFlags) connect(ctx context.Context) (*gwpeer.Node, error) {
	to, err := netip.ParseAddrPort(o.to)
	if err != nil {
		return nil, fmt.Errorf("-to: %q is not of the form ip:port", o.to)
	}
	source, err := gwpeer.NewFileSource(o.ca, o.cert, o.key)
	if err != nil {
		return nil, err
	}
	local := netip.AddrPortFrom(netip.IPv4Unspecified(), 0)
	switch {
	case to.Addr().IsLoopback():
		local = netip.AddrPortFrom(to.Addr(), 0)
	case to.Addr().Is6():
		local = netip.AddrPortFrom(netip.IPv6Unspecified(), 0)
	}
	name := source.Identity().Certificate.Leaf.Subject.CommonName
	return gwpeer.Listen(ctx, gwpeer.Options{Address: local.String(), TLS: source, Instance: name})
}

// operatorSession is the connection of a command to its instance.
type operatorSession struct {
	*operatorFlags
	node *gwpeer.Node
}

// run connects, runs f for a command and turns its error into an exit code.
func (o *operatorFlags) run(ctx context.Context, command subcommands.Command, f func(ctx context.Context, s operatorSession) error) subcommands.ExitStatus {
	err := o.complete()
	var node *gwpeer.Node
	if err == nil {
		node, err = o.connect(ctx)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", command.Name(), err)
		return subcommands.ExitUsageError
	}
	defer func() { _ = node.Close() }()
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	if err := f(ctx, operatorSession{o, node}); err != nil {
		return o.reportError(command.Name(), err)
	}
	return subcommands.ExitSuccess
}

// codedError is an error with a code for scripts to compare.
type codedError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func (e *codedError) Error() string { return e.Code + ": " + e.Message }

// asCodedError converts err. A refusal keeps its code; any other error, such as a missing
// answer or a leader that could not be reached, gets gwdaemon.CodeUnavailable.
func asCodedError(err error) *codedError {
	var coded *codedError
	if errors.As(err, &coded) {
		return coded
	}
	var p *gwpeer.Error
	if errors.As(err, &p) && (p.Code == gwdaemon.CodeRefused || p.Code == gwpeer.CodeForbidden) {
		return &codedError{Code: p.Code, Message: p.Err.Error()}
	}
	return &codedError{Code: gwdaemon.CodeUnavailable, Message: err.Error()}
}

func (o *operatorFlags) reportError(command string, err error) subcommands.ExitStatus {
	coded := asCodedError(err)
	if o.json {
		_ = o.printJSON(map[string]*codedError{"error": coded})
	} else {
		fmt.Fprintf(os.Stderr, "%s: %v\n", command, coded)
	}
	if coded.Code == gwdaemon.CodeUnavailable {
		return exitUnreachable
	}
	return subcommands.ExitFailure
}

func (o *operatorFlags) printJSON(v any) error {
	enc := json.NewEncoder(o.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// print writes v as JSON if -json is set, and calls text otherwise.
func (o *operatorFlags) print(v any, text func(w io.Writer)) error {
	if o.json {
		return o.printJSON(v)
	}
	text(o.out)
	return nil
}

// joinNames formats names for text output.
func joinNames(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}
