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

type drainCmd struct{ operatorFlags }

func (*drainCmd) Name() string     { return "drain" }
func (*drainCmd) Synopsis() string { return "ask an instance to stop gracefully" }
func (*drainCmd) Usage() string {
	return `drain [-json] [flags] INSTANCE
  Asks an instance, through any other, to stop gracefully, as after SIGTERM. The
  command returns once the stop has begun and does not wait until it is complete.
` + operatorUsage
}

func (c *drainCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	name := f.Arg(0)
	return c.run(ctx, c, func(ctx context.Context, s operatorSession) error {
		r := gwdaemon.DrainRequest{Instance: name}
		if _, err := gwpeer.Call[gwdaemon.DrainRequest, gwcontrol.Empty](ctx, s.node, s.to, gwdaemon.KindOperatorDrain, r); err != nil {
			return err
		}
		return c.print(map[string]string{"stopping": name}, func(w io.Writer) { fmt.Fprintf(w, "instance %s is stopping\n", name) })
	})
}
