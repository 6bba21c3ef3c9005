package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/google/subcommands"

	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/internal/gwdaemon"
	"gentianward.example/gentianward/internal/gwpeer"
)

type membersCmd struct{ operatorFlags }

func (*membersCmd) Name() string     { return "members" }
func (*membersCmd) Synopsis() string { return "list the live instances" }
func (*membersCmd) Usage() string {
	return `members [-json] [flags]
  Lists the live instances that the instance at -to can reach.
` + operatorUsage
}

func (c *membersCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	return c.run(ctx, c, func(ctx context.Context, s operatorSession) error {
		members, err := gwpeer.Call[gwcontrol.Empty, []gwdaemon.MemberStatus](ctx, s.node, s.to, gwdaemon.KindOperatorMembers, gwcontrol.Empty{})
		if err != nil {
			return err
		}
		return c.print(members, func(w io.Writer) { printMembers(w, members) })
	})
}

func printMembers(w io.Writer, members []gwdaemon.MemberStatus) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer func() { _ = t.Flush() }()
	fmt.Fprintln(t, "INSTANCE\tDATA CENTRE\tREGION\tPEERS\tOPERATORS\tSTATUS\tVOTER")
	for _, m := range members {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%t\n", m.Instance, m.DataCentre, m.Region, m.PeerAddress, m.OperatorAddress, m.Status, m.Voter)
	}
}
