package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"gentianward.example/gentianward/internal/gwload"
)

type reportCmd struct {
	json           bool
	folder, format string
}

func (*reportCmd) Name() string     { return "report" }
func (*reportCmd) Synopsis() string { return "compare load runs in text, JSON and plots" }
func (*reportCmd) Usage() string {
	return `report [-json] [-plots FOLDER] [-format svg|png] RUN…

Prints the figures of the runs side by side, and for two runs the ratio of the
second to the first. With -plots, draws the latency over time with the faults
marked, the failover gaps, the share of reads served by replicas and the bytes
sent between regions.

`
}

func (c *reportCmd) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.json, "json", false, "print JSON")
	f.StringVar(&c.folder, "plots", "", "folder for the plots; none if empty")
	f.StringVar(&c.format, "format", "svg", "format of the plots: svg or png")
}

func (c *reportCmd) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 || (c.format != "svg" && c.format != "png") {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	if err := c.run(f.Args()); err != nil {
		fmt.Fprintln(os.Stderr, "report:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *reportCmd) run(names []string) error {
	var runs []*gwload.Report
	for _, n := range names {
		r, err := gwload.ReadRun(n)
		if err != nil {
			return err
		}
		runs = append(runs, r)
	}
	if c.json {
		var list []gwload.Summary
		for i, r := range runs {
			list = append(list, r.Summarize(names[i]))
		}
		if err := json.NewEncoder(os.Stdout).Encode(list); err != nil {
			return err
		}
	} else {
		gwload.PrintText(os.Stdout, names, runs)
	}
	if c.folder == "" {
		return nil
	}
	if err := os.MkdirAll(c.folder, 0o755); err != nil {
		return err
	}
	files, err := gwload.Draw(c.folder, c.format, names, runs)
	for _, f := range files {
		fmt.Fprintln(os.Stderr, f)
	}
	return err
}
