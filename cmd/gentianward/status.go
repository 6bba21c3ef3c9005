package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"

	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/internal/gwdaemon"
	"gentianward.example/gentianward/internal/gwpeer"
)

type statusCmd struct{ operatorFlags }

func (*statusCmd) Name() string     { return "status" }
func (*statusCmd) Synopsis() string { return "show the state of an instance" }
func (*statusCmd) Usage() string {
	return `status [-json] [flags]
  Shows the state that one instance knows: its manifest, the leader, the groups with
  their primaries and terms, the write leases that it holds, and the backend servers.
` + operatorUsage
}

func (c *statusCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	return c.run(ctx, c, func(ctx context.Context, s operatorSession) error {
		st, err := gwpeer.Call[gwcontrol.Empty, gwdaemon.Status](ctx, s.node, s.to, gwdaemon.KindOperatorStatus, gwcontrol.Empty{})
		if err != nil {
			return err
		}
		return c.print(st, func(w io.Writer) { printStatus(w, st) })
	})
}

func printStatus(w io.Writer, s gwdaemon.Status) {
	fmt.Fprintf(w, "instance   %s (%s), ready %t, voter %t\n", s.Instance, s.DataCentre, s.Ready, s.Voter)
	fmt.Fprintf(w, "manifest   %d, control index %d, leader %s\n", s.ManifestNumber, s.ControlIndex, orElse(s.Leader, "unknown"))
	fmt.Fprintf(w, "members    %s\n", joinNames(s.Members))
	fmt.Fprintf(w, "leases     %s\n", joinNames(s.Leases))
	fmt.Fprintf(w, "servers    %s\n", joinNames(s.Servers))
	for _, g := range s.Groups {
		changing := ""
		if g.Changing {
			changing = ", change of primary in progress"
		}
		fmt.Fprintf(w, "group      %s: primary %s, term %d%s\n", g.Group, g.Primary, g.Term, changing)
	}
}
