package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"gentianward.example/gentianward/internal/gwdeploy"
	"gentianward.example/gentianward/internal/gwtrace"
)

type traceCmd struct {
	options gwtrace.GenerateOptions
	out     string
}

func (*traceCmd) Name() string     { return "trace" }
func (*traceCmd) Synopsis() string { return "generate a trace of callers' sessions with faults" }
func (*traceCmd) Usage() string {
	return `trace [-deployment ecodour|hanbit] [-scenario NAME] [-seed N] [-duration D] [-out FILE]

Writes a trace for the subcommand replay. Equal flags give equal traces.
Scenarios: ` + strings.Join(gwtrace.Scenarios, ", ") + `.

`
}

func (c *traceCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.options.Deployment, "deployment", gwdeploy.Ecodour, "deployment: ecodour or hanbit")
	f.StringVar(&c.options.Scenario, "scenario", gwtrace.Quiet, "scenario of the trace")
	f.Uint64Var(&c.options.Seed, "seed", 1, "seed of the random generator")
	f.DurationVar(&c.options.Duration, "duration", 10*time.Second, "duration of the trace")
	f.StringVar(&c.out, "out", "", "file to write; standard output if empty")
}

func (c *traceCmd) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if err := c.run(); err != nil {
		fmt.Fprintln(os.Stderr, "trace:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *traceCmd) run() error {
	t, err := gwtrace.Generate(c.options)
	if err != nil {
		return err
	}
	if c.out == "" {
		return t.Write(os.Stdout)
	}
	f, err := os.Create(c.out)
	if err != nil {
		return err
	}
	if err := t.Write(f); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}
