package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/subcommands"

	"gentianward.example/gentianward/internal/gwtelemetry"
)

type explainCmd struct{ before time.Duration }

func (*explainCmd) Name() string     { return "explain" }
func (*explainCmd) Synopsis() string { return "print the log lines about one request" }
func (*explainCmd) Usage() string {
	return `explain [-before D] ID FILE...
  Prints, ordered by time, the lines of the log files about the request with the
  id, and the lines about its group that were written shortly before.

  Exit codes: 0 found; 1 not found, or a file cannot be read; 2 wrong usage.

`
}

// defaultBefore covers a whole change of primary, from its cause to its end.
const defaultBefore = 5 * time.Second

func (c *explainCmd) SetFlags(f *flag.FlagSet) {
	f.DurationVar(&c.before, "before", defaultBefore, "how far before the request to print lines about its group")
}

func (c *explainCmd) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 2 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	var logs []io.Reader
	for _, name := range f.Args()[1:] {
		file, err := os.Open(name)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitFailure
		}
		defer file.Close()
		logs = append(logs, file)
	}
	lines, unreadable, err := gwtelemetry.Explain(f.Arg(0), c.before, logs...)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	for _, l := range lines {
		fmt.Println(l)
	}
	if unreadable > 0 {
		fmt.Fprintf(os.Stderr, "%d lines are not log lines of gentianward\n", unreadable)
	}
	if len(lines) == 0 {
		fmt.Fprintf(os.Stderr, "no line is about request %s\n", f.Arg(0))
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
