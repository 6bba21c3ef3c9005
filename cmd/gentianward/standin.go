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

// standinStopTimeout bounds the wait for running statements at the end.
const standinStopTimeout = 5 * time.Second

type standinCmd struct {
	o        gwstandin.Options
	role     string
	announce string
	leave    time.Duration
}

func (*standinCmd) Name() string     { return "standin" }
func (*standinCmd) Synopsis() string { return "run a database stand-in" }
func (*standinCmd) Usage() string {
	return "standin [flags]\nRuns a small database server with the PostgreSQL wire protocol, in memory.\n"
}

func (c *standinCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.o.Name, "name", "standin", "server name, unique in the deployment")
	f.StringVar(&c.o.Group, "group", "main", "group name")
	f.StringVar(&c.o.DataCentre, "dataCentre", "local", "data centre name")
	f.StringVar(&c.o.Address, "address", "127.0.0.1:5432", "listen address")
	f.StringVar(&c.role, "role", string(gwstandin.RolePrimary), "primary or replica")
	f.Uint64Var(&c.o.Term, "term", 1, "first term of a primary; a replica refuses older primaries")
	f.StringVar(&c.o.PrimaryAddress, "primary", "", "address of the primary that a replica follows")
	f.IntVar(&c.o.Slots, "slots", 2, "statements executing at once, 0 for no limit")
	f.IntVar(&c.o.Connections, "connections", 16, "client connections, 0 for no limit")
	f.DurationVar(&c.o.ConnectCost, "connectCost", 12*time.Millisecond, "time that a new connection takes")
	f.DurationVar(&c.o.ReplicationDelay, "replicationDelay", 0, "delay of replication to this replica")
	f.DurationVar(&c.o.StatementCost, "statementCost", 0, "time that a statement occupies its slot")
	f.DurationVar(&c.leave, "leave", 2*time.Second, "time between the announcement that the server leaves and its end")
	f.StringVar(&c.announce, "announce", "", "comma-separated URLs of instances to announce to")
}

func (c *standinCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	c.o.Role = gwstandin.Role(c.role)
	if c.announce != "" {
		c.o.Announce = strings.Split(c.announce, ",")
	}
	c.o.Logger = slog.New(slog.NewJSONHandler(os.Stderr, nil))
	server, err := gwstandin.Start(ctx, c.o)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	c.o.Logger.Info("serving", "server", c.o.Name, "address", server.Address(), "role", c.role)
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
