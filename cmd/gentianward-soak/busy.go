package main

import (
	"context"
	"flag"
	"time"

	"github.com/google/subcommands"
)

// busyCmd keeps one processor busy, as other work on a machine does.
type busyCmd struct{ duration time.Duration }

func (*busyCmd) Name() string     { return "busy" }
func (*busyCmd) Synopsis() string { return "keep a processor busy for the subcommand run" }
func (*busyCmd) Usage() string    { return "busy [-for D]\n  Computes for a while.\n\n" }

func (c *busyCmd) SetFlags(f *flag.FlagSet) {
	f.DurationVar(&c.duration, "for", time.Second, "time after which it ends")
}

func (c *busyCmd) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	for end := time.Now().Add(c.duration); time.Now().Before(end); {
	}
	return subcommands.ExitSuccess
}
