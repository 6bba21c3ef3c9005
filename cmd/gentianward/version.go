package main

import (
	"context"
	"flag"
	"fmt"
	"runtime/debug"

	"github.com/google/subcommands"
)

// version is the release that this source tree builds.
const version = "0.1.0-dev"

type versionCmd struct{}

func (*versionCmd) Name() string           { return "version" }
func (*versionCmd) Synopsis() string       { return "print the version" }
func (*versionCmd) Usage() string          { return "version\n" }
func (*versionCmd) SetFlags(*flag.FlagSet) {}

func (*versionCmd) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	goVersion := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		goVersion = info.GoVersion
	}
	fmt.Printf("gentianward %s (%s)\n", version, goVersion)
	return subcommands.ExitSuccess
}
