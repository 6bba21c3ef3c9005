package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"gentianward.example/gentianward/internal/gwsoak"
)

// Exit codes of the subcommand run.
const (
	exitHeld   = subcommands.ExitSuccess
	exitBroken = subcommands.ExitFailure
	exitNotRun = subcommands.ExitUsageError
)

type runCmd struct {
	seed                              uint64
	count                             int
	duration, sync                    time.Duration
	program, scenario, record, folder string
}

func (*runCmd) Name() string     { return "run" }
func (*runCmd) Synopsis() string { return "run a scenario with one or more seeds" }
func (*runCmd) Usage() string {
	return `run [-program PATH] [-scenario NAME] [-seed N] [-count N] [-for D] [-sync D] [-record FILE] [-logs FOLDER]
  Starts instances as separate processes on loopback addresses, injects faults and checks what
  callers, backend servers, the platform and the operator see. Each run prints a report
  and appends it to the record as a line of JSON.

  Exit codes: 0 every promise held; 1 a promise was broken; 2 could not run.

`
}

func (c *runCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.program, "program", "", "gentianward-soak whose instances run, as one of another version; this one if empty")
	f.StringVar(&c.scenario, "scenario", "random", "what is done; see the subcommand list")
	f.Uint64Var(&c.seed, "seed", 1, "first seed")
	f.IntVar(&c.count, "count", 1, "number of runs, each with the next seed")
	f.DurationVar(&c.duration, "for", 15*time.Second, "time in which faults are injected, per run")
	f.DurationVar(&c.sync, "sync", 0, "additional time of each sync of control instances, at most 150ms")
	f.StringVar(&c.record, "record", "", "file that receives the reports as lines of JSON")
	f.StringVar(&c.folder, "logs", "", "folder that keeps settings, logs and data of the instances; a temporary one if empty")
}

func (c *runCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	scenario, ok := gwsoak.FindScenario(c.scenario)
	if !ok || f.NArg() > 0 || c.count < 1 || c.duration <= 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return exitNotRun
	}
	status := exitHeld
	for i := range c.count {
		report, err := c.play(ctx, scenario, c.seed+uint64(i))
		if err == nil && ctx.Err() != nil {
			err = ctx.Err()
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, "run:", err)
			return exitNotRun
		}
		report.WriteText(os.Stdout)
		if !report.Held() {
			status = exitBroken
		}
	}
	return status
}

func (c *runCmd) play(ctx context.Context, s gwsoak.Scenario, seed uint64) (gwsoak.Report, error) {
	program, err := c.instanceProgram()
	if err != nil {
		return gwsoak.Report{}, err
	}
	folder, remove, err := c.runFolder(s, seed)
	if err != nil {
		return gwsoak.Report{}, err
	}
	defer remove()
	report, err := gwsoak.Play(ctx, gwsoak.Options{
		Program: program, Scenario: s, Seed: seed, For: c.duration, Sync: c.sync, Folder: folder,
		Progress: func(p gwsoak.Progress) {
			fmt.Fprintf(os.Stderr, "%s seed %d: %s, %s of faults left, %d writes, %d violations\n",
				s.Name, seed, p.Phase, p.Left.Round(time.Second), p.Writes, p.Violations)
		},
	})
	if err != nil {
		return report, err
	}
	return report, c.append(report)
}

// instanceProgram returns the path of the program of the instances.
func (c *runCmd) instanceProgram() (string, error) {
	if c.program == "" {
		return os.Executable()
	}
	return filepath.Abs(c.program)
}

// runFolder returns a new folder for a run and a function that removes it unless it is kept.
func (c *runCmd) runFolder(s gwsoak.Scenario, seed uint64) (folder string, remove func(), err error) {
	if c.folder == "" {
		folder, err = os.MkdirTemp("", "gentianward-soak")
		return folder, func() { _ = os.RemoveAll(folder) }, err
	}
	if err := os.MkdirAll(c.folder, 0o700); err != nil {
		return "", nil, err
	}
	folder, err = os.MkdirTemp(c.folder, fmt.Sprintf("%s-%d-", s.Name, seed))
	return folder, func() {}, err
}

func (c *runCmd) append(r gwsoak.Report) error {
	if c.record == "" {
		return nil
	}
	f, err := os.OpenFile(c.record, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(f).Encode(r); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
