package gwdaemon

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/pkg/gwmember"
)

// Kinds of calls that operators make to the peer address, with an operator's certificate.
var (
	KindOperatorPublish = gwpeer.Kind{ID: 64, Name: "operatorPublish", OperatorOnly: true, Large: true}
	KindOperatorStatus  = gwpeer.Kind{ID: 65, Name: "operatorStatus", OperatorOnly: true}
	KindOperatorHistory = gwpeer.Kind{ID: 66, Name: "operatorHistory", OperatorOnly: true}
	KindOperatorMembers = gwpeer.Kind{ID: 68, Name: "operatorMembers", OperatorOnly: true}
	KindOperatorAwait   = gwpeer.Kind{ID: 69, Name: "operatorAwait", OperatorOnly: true}
	KindOperatorDrain   = gwpeer.Kind{ID: 70, Name: "operatorDrain", OperatorOnly: true}
)

// Kinds of calls between instances that carry out operators' calls.
var (
	kindAwaitManifest = gwpeer.Kind{ID: 71, Name: "awaitManifest"}
	kindDrain         = gwpeer.Kind{ID: 72, Name: "drain"}
)

// Codes of errors that operators receive.
const (
	// CodeRefused means that the request was understood and refused. It must not be
	// repeated unchanged.
	CodeRefused = "refused"
	// CodeUnavailable means that the leader or an instance could not be reached in time.
	CodeUnavailable = "unavailable"
)

// MemberStatus describes a live member as one instance sees it.
type MemberStatus struct {
	Instance        string `cbor:"1,keyasint" json:"instance"`
	DataCentre      string `cbor:"2,keyasint" json:"dataCentre"`
	Region          string `cbor:"3,keyasint" json:"region"`
	PeerAddress     string `cbor:"4,keyasint" json:"peerAddress"`
	OperatorAddress string `cbor:"5,keyasint" json:"operatorAddress"`
	Incarnation     uint64 `cbor:"6,keyasint" json:"incarnation"`
	Status          string `cbor:"7,keyasint" json:"status"`
	Voter           bool   `cbor:"8,keyasint" json:"voter"`
}

// AwaitRequest asks which live instances have a manifest in force.
type AwaitRequest struct {
	Number uint64 `cbor:"1,keyasint"`
	// Limit is how long to wait for the instances that do not have it yet.
	Limit time.Duration `cbor:"2,keyasint"`
}

// AwaitResult lists the live instances by whether they have the manifest in force.
type AwaitResult struct {
	InForce []string `cbor:"1,keyasint" json:"inForce"`
	Missing []string `cbor:"2,keyasint" json:"missing"`
}

// DrainRequest asks for the graceful stop of an instance.
type DrainRequest struct {
	Instance string `cbor:"1,keyasint"`
}

// serveOperators registers the handlers of operators' calls.
func (i *Instance) serveOperators() {
	gwpeer.Handle(i.node, KindOperatorPublish, i.operatorPublish)
	gwpeer.Handle(i.node, KindOperatorStatus, func(context.Context, string, gwcontrol.Empty) (Status, error) {
		return i.Status(), nil
	})
	gwpeer.Handle(i.node, KindOperatorHistory, func(ctx context.Context, _ string, _ gwcontrol.Empty) ([]gwcontrol.HistoryEntry, error) {
		h, err := i.client.History(ctx)
		return h, operatorError(err)
	})
	gwpeer.Handle(i.node, KindOperatorMembers, func(context.Context, string, gwcontrol.Empty) ([]MemberStatus, error) {
		return i.memberStatus(), nil
	})
	gwpeer.Handle(i.node, KindOperatorAwait, func(ctx context.Context, _ string, r AwaitRequest) (AwaitResult, error) {
		return i.awaitAll(ctx, r), nil
	})
	gwpeer.Handle(i.node, KindOperatorDrain, i.operatorDrain)
	gwpeer.Handle(i.node, kindAwaitManifest, func(ctx context.Context, _ string, r AwaitRequest) (gwcontrol.Empty, error) {
		return gwcontrol.Empty{}, i.awaitManifest(ctx, r.Number)
	})
	gwpeer.Handle(i.node, kindDrain, func(_ context.Context, from string, _ DrainRequest) (gwcontrol.Empty, error) {
		return gwcontrol.Empty{}, i.drainSelf(from)
	})
}

func (i *Instance) operatorPublish(ctx context.Context, operator string, r gwcontrol.PublishRequest) (gwcontrol.PublishResult, error) {
	res, err := i.client.Publish(ctx, r.Text)
	if err != nil {
		i.Log.Warn("manifest of an operator not published", "operator", operator, "bytes", len(r.Text), "error", err.Error())
		return res, operatorError(err)
	}
	i.Log.Info("manifest of an operator accepted", "operator", operator, "number", res.Number, "digest", res.Digest, "resent", res.Resent)
	return res, nil
}

// operatorError converts an error of the leader, local or remote, to one with a code for
// operators.
func operatorError(err error) error {
	if err == nil {
		return nil
	}
	var e *gwcontrol.Error
	if errors.As(err, &e) && e.Kind == gwcontrol.Refused {
		return gwpeer.Codef(CodeRefused, "%s", e.Detail)
	}
	var p *gwpeer.Error
	if errors.As(err, &p) && p.Kind == gwpeer.KindRemote && p.Code == gwcontrol.Refused.String() {
		return gwpeer.Codef(CodeRefused, "%s", p.Err.Error())
	}
	return gwpeer.Codef(CodeUnavailable, "%s", err.Error())
}

func (i *Instance) memberStatus() []MemberStatus {
	manifest := i.views.Current().Manifest
	out := []MemberStatus{}
	for _, m := range i.members.Topology().Live {
		s := MemberStatus{
			Instance: m.Instance, DataCentre: m.DataCentre, Region: m.Region, PeerAddress: m.Address,
			OperatorAddress: m.OperatorAddress, Incarnation: m.Incarnation, Status: i.members.State(m.Instance).String(),
		}
		if manifest != nil {
			_, s.Voter = manifest.Voter(m.Instance)
		}
		out = append(out, s)
	}
	return out
}

// awaitManifest waits until a manifest with this or a higher number is in force on this
// instance.
func (i *Instance) awaitManifest(ctx context.Context, number uint64) error {
	for {
		changed := i.views.Changed()
		if i.views.Current().Number >= number {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// maxParallelAwaits bounds the instances that awaitAll asks at the same time.
const maxParallelAwaits = 256

// awaitAll waits until the manifest is in force on all live instances, or for r.Limit. An
// instance that dies or leaves meanwhile is in neither list of the result.
func (i *Instance) awaitAll(ctx context.Context, r AwaitRequest) AwaitResult {
	ctx, cancel := context.WithTimeout(ctx, r.Limit)
	defer cancel()
	live := i.members.Topology().Live
	inForce := make([]bool, len(live))
	var g errgroup.Group
	g.SetLimit(maxParallelAwaits)
	for n, m := range live {
		g.Go(func() error {
			inForce[n] = i.awaitOn(ctx, m, r)
			return nil
		})
	}
	_ = g.Wait()
	out := AwaitResult{InForce: []string{}, Missing: []string{}}
	for n, m := range live {
		switch {
		case inForce[n]:
			out.InForce = append(out.InForce, m.Instance)
		case i.members.State(m.Instance).Live():
			out.Missing = append(out.Missing, m.Instance)
		}
	}
	return out
}

// awaitRetryInterval is the pause after a failed call to an instance.
const awaitRetryInterval = 100 * time.Millisecond

// awaitOn waits until the manifest is in force on instance m. It returns false if ctx ends
// or the instance dies or leaves before that.
func (i *Instance) awaitOn(ctx context.Context, m gwmember.Member, r AwaitRequest) bool {
	if m.Instance == i.Settings.Instance {
		return i.awaitManifest(ctx, r.Number) == nil
	}
	for i.members.State(m.Instance).Live() {
		_, err := gwpeer.Call[AwaitRequest, gwcontrol.Empty](ctx, i.node, m.Address, kindAwaitManifest, r)
		if err == nil {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-i.Clock.After(awaitRetryInterval):
		}
	}
	return false
}

// operatorDrain stops this instance gracefully, or forwards the request to the named one.
func (i *Instance) operatorDrain(ctx context.Context, operator string, r DrainRequest) (gwcontrol.Empty, error) {
	if r.Instance == i.Settings.Instance {
		return gwcontrol.Empty{}, i.drainSelf(operator)
	}
	m, ok := i.members.Topology().Member(r.Instance)
	if !ok {
		return gwcontrol.Empty{}, gwpeer.Codef(CodeRefused, "no live instance is named %q", r.Instance)
	}
	i.Log.Info("stop of an instance requested by an operator", "operator", operator, "target", r.Instance)
	_, err := gwpeer.Call[DrainRequest, gwcontrol.Empty](ctx, i.node, m.Address, kindDrain, r)
	if code, remote := gwpeer.RemoteCode(err); remote && code != "" {
		var p *gwpeer.Error
		errors.As(err, &p)
		return gwcontrol.Empty{}, gwpeer.Codef(code, "%s", p.Err.Error())
	}
	return gwcontrol.Empty{}, operatorError(err)
}

// drainSelf starts the graceful stop of this instance.
func (i *Instance) drainSelf(from string) error {
	if i.Drain == nil {
		return gwpeer.Codef(CodeRefused, "instance %s was not started by the serve command and cannot be stopped by operators", i.Settings.Instance)
	}
	i.Log.Info("graceful stop of this instance requested", "from", from)
	i.Drain()
	return nil
}
