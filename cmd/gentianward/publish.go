package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/subcommands"

	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/internal/gwdaemon"
	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/internal/gwpeer"
)

type publishCmd struct {
	operatorFlags
	wait bool
}

func (*publishCmd) Name() string     { return "publish" }
func (*publishCmd) Synopsis() string { return "publish a manifest to the deployment" }
func (*publishCmd) Usage() string {
	return `publish [-wait] [-json] [flags] FILE
  Publishes a manifest through any instance. Its number must be one above the
  current one. The file is sent again until an answer arrives; a manifest that was
  already accepted is reported as accepted. A refusal names the digest that was
  accepted with the same number, or the expected number.
  With -wait, waits until every live instance has the manifest in force. If that
  takes longer than -timeout, names the instances that do not have it and exits
  with code 3.
` + operatorUsage
}

func (c *publishCmd) SetFlags(f *flag.FlagSet) {
	c.operatorFlags.SetFlags(f)
	f.BoolVar(&c.wait, "wait", false, "wait until every live instance has the manifest in force")
}

// publishOutput is the JSON output of the command.
type publishOutput struct {
	gwcontrol.PublishResult
	*gwdaemon.AwaitResult
	// Milliseconds is the time from the first attempt to the end of the command.
	Milliseconds int64 `json:"milliseconds"`
}

func (c *publishCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	text, err := os.ReadFile(f.Arg(0))
	if err != nil {
		fmt.Fprintln(os.Stderr, "publish:", err)
		return subcommands.ExitUsageError
	}
	return c.run(ctx, c, func(ctx context.Context, s operatorSession) error {
		if _, err := gwmanifest.ParseManifest(f.Arg(0), text); err != nil {
			return &codedError{Code: gwdaemon.CodeRefused, Message: err.Error()}
		}
		return c.publish(ctx, s, text)
	})
}

func (c *publishCmd) publish(ctx context.Context, s operatorSession, text []byte) error {
	started := time.Now()
	res, err := s.publish(ctx, text)
	if err != nil {
		return err
	}
	out := publishOutput{PublishResult: res}
	if c.wait {
		if out.AwaitResult, err = s.await(ctx, res.Number); err != nil {
			return fmt.Errorf("manifest %d was accepted with digest %s, but it is not known on which instances it is in force: %w", res.Number, res.Digest, err)
		}
	}
	out.Milliseconds = time.Since(started).Milliseconds()
	if err := c.print(out, out.text); err != nil {
		return err
	}
	if out.AwaitResult != nil && len(out.Missing) > 0 {
		return &codedError{Code: gwdaemon.CodeUnavailable, Message: "not yet in force on " + joinNames(out.Missing)}
	}
	return nil
}

func (p publishOutput) text(w io.Writer) {
	state := "accepted"
	if p.Resent {
		state = "had been accepted before"
	}
	fmt.Fprintf(w, "manifest %d %s, digest %s\n", p.Number, state, p.Digest)
	if p.AwaitResult != nil {
		fmt.Fprintf(w, "in force on %d of %d live instances after %d ms\n", len(p.InForce), len(p.InForce)+len(p.Missing), p.Milliseconds)
	}
}

// resendInterval is the time between two attempts to publish.
const resendInterval = 200 * time.Millisecond

// publish sends a manifest until an answer arrives. If an answer is lost, the manifest may
// have been accepted or not; sending it again is safe in both cases.
func (s operatorSession) publish(ctx context.Context, text []byte) (gwcontrol.PublishResult, error) {
	req := gwcontrol.PublishRequest{Text: text}
	var last error
	for ctx.Err() == nil {
		res, err := gwpeer.Call[gwcontrol.PublishRequest, gwcontrol.PublishResult](ctx, s.node, s.to, gwdaemon.KindOperatorPublish, req)
		if err == nil || asCodedError(err).Code != gwdaemon.CodeUnavailable {
			return res, err
		}
		if last == nil || ctx.Err() == nil {
			last = err
		}
		select {
		case <-ctx.Done():
		case <-time.After(resendInterval):
		}
	}
	return gwcontrol.PublishResult{}, errors.Join(errors.New("it is not known whether the manifest was accepted; publish the same file again"), last)
}

// answerMargin is the part of the timeout that is reserved for the answer to arrive.
const answerMargin = time.Second

// await waits until every live instance has a manifest in force, or until shortly before
// the timeout, and returns which instances have it.
func (s operatorSession) await(ctx context.Context, number uint64) (*gwdaemon.AwaitResult, error) {
	deadline, _ := ctx.Deadline()
	limit := time.Until(deadline)
	r := gwdaemon.AwaitRequest{Number: number, Limit: limit - min(answerMargin, limit/4)}
	res, err := gwpeer.Call[gwdaemon.AwaitRequest, gwdaemon.AwaitResult](ctx, s.node, s.to, gwdaemon.KindOperatorAwait, r)
	return &res, err
}
