package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"gentianward.example/gentianward/internal/gwdaemon"
	"gentianward.example/gentianward/internal/gwfilter"
)

type placementCmd struct {
	address  string
	database string
	kind     string
	position string
	json     bool
	timeout  time.Duration
}

func (*placementCmd) Name() string     { return "explain-placement" }
func (*placementCmd) Synopsis() string { return "print where a request would go now and why" }
func (*placementCmd) Usage() string {
	return `explain-placement -address HOST:PORT -database NAME [-kind read|write] [-position TERM/OFFSET] [-json]
  Asks a running entry instance where it would send a request now, and why. The
  address is that of its readiness checks. Nothing is sent to a database server, and
  the control instances are not needed: the ages tell how old the information is. The
  customer and its key make no difference to the server, and must not be passed.

  Exit codes: 0 explained; 1 refused, as for an unknown database; 2 wrong usage; 3 not reached.

`
}

const (
	defaultPlacementTimeout = 2 * time.Second
	maxPlacementBytes       = 1 << 20
	exitNotReached          = subcommands.ExitStatus(3)
)

func (c *placementCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.address, "address", "", "the address of the instance's readiness checks")
	f.StringVar(&c.database, "database", "", "the database that the request names")
	f.StringVar(&c.kind, "kind", "read", "read or write")
	f.StringVar(&c.position, "position", "", "the position that the session has seen")
	f.BoolVar(&c.json, "json", false, "print JSON")
	f.DurationVar(&c.timeout, "timeout", defaultPlacementTimeout, "the longest wait for the answer")
}

func (c *placementCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.address == "" || c.database == "" || f.NArg() > 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	return c.run(ctx, os.Stdout, os.Stderr)
}

// errRefused means that the instance answered with an error.
var errRefused = errors.New("refused")

func (c *placementCmd) run(ctx context.Context, stdout, stderr io.Writer) subcommands.ExitStatus {
	text, err := c.ask(ctx)
	switch {
	case errors.Is(err, errRefused):
		fmt.Fprintln(stderr, err)
		return subcommands.ExitFailure
	case err != nil:
		fmt.Fprintln(stderr, err)
		return exitNotReached
	case c.json:
		_, _ = stdout.Write(text)
		return subcommands.ExitSuccess
	}
	var p gwfilter.Placement
	if err := json.Unmarshal(text, &p); err != nil {
		fmt.Fprintln(stderr, err)
		return exitNotReached
	}
	printPlacement(stdout, p)
	return subcommands.ExitSuccess
}

// ask returns the answer of the instance.
func (c *placementCmd) ask(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	query := url.Values{"database": {c.database}, "kind": {c.kind}}
	if c.position != "" {
		query.Set("position", c.position)
	}
	u := url.URL{Scheme: "http", Host: c.address, Path: gwdaemon.PlacementPath, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), http.NoBody)
	if err != nil {
		return nil, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, maxPlacementBytes))
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: %s: %s", errRefused, res.Status, strings.TrimSpace(string(text)))
	}
	return text, nil
}

// printPlacement prints a placement as text.
func printPlacement(w io.Writer, p gwfilter.Placement) {
	server := p.Server
	if server == "" {
		server = "no server"
	}
	fmt.Fprintf(w, "%s of database %s (class %s, group %s) at instance %s in %s: %s, %s\n", p.Kind, p.Database, p.Class, p.Group, p.Instance, p.DataCentre, server, p.Reason)
	fmt.Fprintf(w, "configuration %d, primary %s of term %d, changing %v; control heard %s\n\n", p.Manifest, p.Primary, p.Term, p.Changing, ago(p.ControlAgeMillis))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "server\tdata centre\trole\towner\treported\tposition\tstaleness\twait\tload\tslowness\tservice\tcost\trule")
	for _, c := range p.Candidates {
		role := "replica"
		if c.Primary {
			role = "primary"
		}
		owner := c.Owner
		if !c.Reachable {
			owner = "none reachable"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.2f\t%.1f\t%.1f ms\t%s\t%s\n", c.Server, c.DataCentre, role, owner, ago(c.ReportMillis), orUnknown(c.Position),
			duration(c.StalenessMillis), duration(c.WaitMillis), c.Load, c.Slowness, c.ServiceMillis, cost(c.CostMillis), c.Reason)
	}
	_ = t.Flush()
}

func orUnknown(s string) string {
	if s == "" {
		return "unknown"
	}
	return s
}

func duration(millis int64) string {
	if millis < 0 {
		return "unknown"
	}
	return (time.Duration(millis) * time.Millisecond).String()
}

func ago(millis int64) string {
	if millis < 0 {
		return "never"
	}
	return duration(millis) + " ago"
}

func cost(millis float64) string {
	if millis < 0 {
		return "unknown"
	}
	return fmt.Sprintf("%.1f ms", millis)
}
