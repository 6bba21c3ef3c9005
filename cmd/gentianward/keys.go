package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"github.com/google/subcommands"

	"gentianward.example/gentianward/internal/gwpeer"
)

type keysCmd struct {
	out io.Writer // os.Stdout if nil
}

func (*keysCmd) Name() string     { return "keys" }
func (*keysCmd) Synopsis() string { return "create the private CA and instance certificates" }
func (*keysCmd) Usage() string {
	return `keys init DIR [-name NAME]
  Creates a CA: DIR/ca.pem and DIR/ca.key.
keys issue DIR INSTANCE -ip IP [-ip IP]... [-renew]
  Creates DIR/INSTANCE.pem and DIR/INSTANCE.key. With -renew, existing files
  are renamed first.
keys issue -operator DIR NAME [-renew]
  Creates the certificate and key of an operator, for publish, status, history,
  members and drain.
keys rotate DIR [-name NAME] [-finish]
  Creates a new CA that signs certificates from now on; DIR/ca.pem then holds it
  and the previous ones, and all are trusted. Distribute ca.pem, issue all
  certificates again with -renew, distribute them, and then run it again with
  -finish to trust only the new CA.

Existing files are never overwritten.
`
}

func (*keysCmd) SetFlags(*flag.FlagSet) {}

// keysArgs holds the arguments of one action, given as flags and names in any order.
type keysArgs struct {
	names []string
	ips   []net.IP
	name  string
	renew bool
	// operator selects a certificate for an operator instead of an instance.
	operator bool
	finish   bool
}

func parseKeysArgs(action string, args []string) (keysArgs, error) {
	var a keysArgs
	fs := flag.NewFlagSet("keys "+action, flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	switch action {
	case "init", "rotate":
		fs.StringVar(&a.name, "name", "gentianward", "subject of the CA")
	case "issue":
		fs.BoolVar(&a.renew, "renew", false, "rename existing files first")
		fs.BoolVar(&a.operator, "operator", false, "issue for an operator")
		fs.Func("ip", "IP address of the instance; may be repeated", func(s string) error {
			ip := net.ParseIP(s)
			if ip == nil {
				return fmt.Errorf("%q is not an IP address", s)
			}
			a.ips = append(a.ips, ip)
			return nil
		})
	}
	if action == "rotate" {
		fs.BoolVar(&a.finish, "finish", false, "trust only the new CA")
	}
	for len(args) > 0 {
		if err := fs.Parse(args); err != nil {
			return a, err
		}
		args = fs.Args()
		if len(args) > 0 {
			a.names = append(a.names, args[0])
			args = args[1:]
		}
	}
	return a, nil
}

func (c *keysCmd) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	action := f.Arg(0)
	wantNames := map[string]int{"init": 1, "issue": 2, "rotate": 1}[action]
	if wantNames == 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	a, err := parseKeysArgs(action, f.Args()[1:])
	if err == nil && len(a.names) != wantNames {
		err = fmt.Errorf("keys %s takes %d names, not %d", action, wantNames, len(a.names))
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, c.Usage())
		return subcommands.ExitUsageError
	}
	files, err := runKeys(action, a)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	if c.out == nil {
		c.out = os.Stdout
	}
	for _, file := range files {
		fmt.Fprintln(c.out, file)
	}
	return subcommands.ExitSuccess
}

func runKeys(action string, a keysArgs) ([]string, error) {
	folder := gwpeer.KeyFolder{Path: a.names[0], Now: time.Now()}
	switch {
	case action == "init":
		return folder.Init(a.name)
	case action == "issue" && a.operator:
		return folder.IssueOperator(a.names[1], a.renew)
	case action == "issue":
		return folder.Issue(a.names[1], a.ips, a.renew)
	case a.finish:
		return folder.Finish()
	default:
		return folder.Rotate(a.name)
	}
}
