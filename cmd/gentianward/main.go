// Command gentianward runs a database proxy with session consistency, and the tools to
// operate, demonstrate and measure it.
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
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&serveCmd{}, "")
	subcommands.Register(&publishCmd{}, "operators")
	subcommands.Register(&statusCmd{}, "operators")
	subcommands.Register(&historyCmd{}, "operators")
	subcommands.Register(&membersCmd{}, "operators")
	subcommands.Register(&drainCmd{}, "operators")
	subcommands.Register(&standinCmd{}, "")
	subcommands.Register(&checkCmd{}, "")
	subcommands.Register(&keysCmd{}, "")
	subcommands.Register(&demoCmd{}, "")
	subcommands.Register(&traceCmd{}, "")
	subcommands.Register(&replayCmd{}, "")
	subcommands.Register(&gapsCmd{}, "")
	subcommands.Register(&loadCmd{}, "")
	subcommands.Register(&reportCmd{}, "")
	subcommands.Register(&versionCmd{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
