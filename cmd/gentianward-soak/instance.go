package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"gentianward.example/gentianward/internal/gwprogram"
	"gentianward.example/gentianward/internal/gwsoak"
)

// instanceCmd runs an instance as gentianward-platform does, with a disk that can be slow and
// loses what is not synced.
type instanceCmd struct {
	gwprogram.Command
	disk string
}

func (*instanceCmd) Name() string     { return "instance" }
func (*instanceCmd) Synopsis() string { return "run an instance for the subcommand run" }

func (c *instanceCmd) SetFlags(f *flag.FlagSet) {
	c.Command.SetFlags(f)
	f.StringVar(&c.disk, "disk", "", "file with the faults of the disk")
}

func (c *instanceCmd) Execute(ctx context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	c.FS = gwsoak.NewDisk(c.disk)
	return c.Command.Execute(ctx, f, args...)
}
