package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"gentianward.example/gentianward/internal/gwstandin"
)

// standinStopTimeout bounds the wait for running statements when the server stops.
const standinStopTimeout = 5 * time.Second

type standinCmd struct {
	options  gwstandin.Options
	role     string
	announce string
	leave    time.Duration
}

func (*standinCmd) Name() string     { return "standin" }
func (*standinCmd) Synopsis() string { return "run a database stand-in" }
func (*standinCmd) Usage() string {
	return "standin [flags]\nRuns a small in-memory database server that speaks the PostgreSQL wire protocol.\n"
}

func (c *standinCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.options.Name, "name", "standin", "server name, unique in the deployment")
	f.StringVar(&c.options.Group, "group", "main", "group name")
	f.StringVar(&c.options.DataCentre, "dataCentre", "local", "data centre name")
	f.StringVar(&c.options.Address, "address", "127.0.0.1:5432", "listen address")
	f.StringVar(&c.role, "role", string(gwstandin.RolePrimary), "primary or replica")
	f.Uint64Var(&c.options.Term, "term", 1, "initial term of a primary; a replica refuses primaries of lower terms")
	f.StringVar(&c.options.PrimaryAddress, "primary", "", "address of the primary that a replica follows")
	f.IntVar(&c.options.Slots, "slots", 2, "maximum number of statements executing at once, 0 for no limit")
	f.IntVar(&c.options.Connections, "connections", 16, "maximum number of client connections, 0 for no limit")
	f.DurationVar(&c.options.ConnectCost, "connectCost", 12*time.Millisecond, "simulated time to set up a connection")
	f.DurationVar(&c.options.ReplicationDelay, "replicationDelay", 0, "simulated delay of the replication to this replica")
	f.DurationVar(&c.options.StatementCost, "statementCost", 0, "simulated time for which a statement occupies its slot")
	f.DurationVar(&c.leave, "leave", 2*time.Second, "time between announcing that the server leaves and stopping it")
	f.StringVar(&c.announce, "announce", "", "comma-separated URLs of the instances that receive the announcements of the server")
}

func (c *standinCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	c.options.Role = gwstandin.Role(c.role)
	if c.announce != "" {
		c.options.Announce = strings.Split(c.announce, ",")
	}
	c.options.Logger = slog.New(slog.NewJSONHandler(os.Stderr, nil))
	server, err := gwstandin.Start(ctx, c.options)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	c.options.Logger.Info("database stand-in started", "server", c.options.Name, "address", server.Address(), "role", c.role)
	<-ctx.Done()
	server.Leave()
	stop() // a second signal ends the process at once
	time.Sleep(c.leave)
	stopCtx, cancel := context.WithTimeout(context.Background(), standinStopTimeout)
	defer cancel()
	if err := server.Stop(stopCtx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
