// Command gentianward-soak runs instances as separate processes on this machine, injects faults
// and checks the promises of the pages.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.CommandsCommand(), "")
	subcommands.Register(&runCmd{}, "")
	subcommands.Register(&listCmd{}, "")
	subcommands.Register(&instanceCmd{}, "internal")
	subcommands.Register(&busyCmd{}, "internal")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
