package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/subcommands"

	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/internal/gwdaemon"
	"gentianward.example/gentianward/internal/gwpeer"
)

type historyCmd struct{ operatorFlags }

func (*historyCmd) Name() string     { return "history" }
func (*historyCmd) Synopsis() string { return "list the accepted manifests" }
func (*historyCmd) Usage() string {
	return `history [-json] [flags]
  Lists the number, digest and time of each accepted manifest, oldest first, as
  confirmed by the leader of the replicated log.
` + operatorUsage
}

func (c *historyCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	return c.run(ctx, c, func(ctx context.Context, s operatorSession) error {
		h, err := gwpeer.Call[gwcontrol.Empty, []gwcontrol.HistoryEntry](ctx, s.node, s.to, gwdaemon.KindOperatorHistory, gwcontrol.Empty{})
		if err != nil {
			return err
		}
		return c.print(h, func(w io.Writer) {
			for _, e := range h {
				fmt.Fprintf(w, "%-6d %s  %s\n", e.Number, e.Digest, e.Published.UTC().Format(time.RFC3339))
			}
		})
	})
}
