// Command gentianward-platform runs one instance on the users' platform.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"gentianward.example/gentianward/internal/gwprogram"
	"gentianward.example/gentianward/internal/gwstore"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.CommandsCommand(), "")
	subcommands.Register(&gwprogram.Command{FS: gwstore.OSFS{}}, "")
	subcommands.Register(&checkCmd{}, "")
	subcommands.Register(&explainCmd{}, "")
	subcommands.Register(&placementCmd{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
