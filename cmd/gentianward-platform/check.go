package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"gentianward.example/gentianward/platform"
)

type checkCmd struct{}

func (*checkCmd) Name() string     { return "check" }
func (*checkCmd) Synopsis() string { return "validate a settings file of the platform" }
func (*checkCmd) Usage() string {
	return `check FILE
  Validates a settings file and prints how it configures the instance.

  Exit codes: 0 valid; 1 not valid; 2 wrong usage.

`
}
func (*checkCmd) SetFlags(*flag.FlagSet) {}

func (c *checkCmd) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	s, err := platform.ReadSettings(f.Arg(0))
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", f.Arg(0), err)
		return subcommands.ExitFailure
	}
	fmt.Printf("instance %s in data centre %s (region %s): callers %v, control %v, %d seeds, data folder %q\n",
		s.IP, s.DataCentre, s.Region, s.ServesCallers, s.ServesControl, len(s.Seeds), s.DataFolder)
	return subcommands.ExitSuccess
}
