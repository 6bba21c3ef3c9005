package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"gentianward.example/gentianward/internal/gwsoak"
)

type listCmd struct{}

func (*listCmd) Name() string           { return "list" }
func (*listCmd) Synopsis() string       { return "list the scenarios" }
func (*listCmd) Usage() string          { return "list\n  Lists the scenarios of the subcommand run.\n\n" }
func (*listCmd) SetFlags(*flag.FlagSet) {}

func (*listCmd) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	for _, s := range gwsoak.Scenarios() {
		fmt.Printf("%-18s %s\n", s.Name, s.Synopsis)
	}
	return subcommands.ExitSuccess
}
