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

// Kinds of calls that operators make over the links, with an operator's certificate.
var (
	KindOperatorPublish = gwpeer.Kind{ID: 64, Name: "operatorPublish", OperatorOnly: true}
	KindOperatorStatus  = gwpeer.Kind{ID: 65, Name: "operatorStatus", OperatorOnly: true}
	KindOperatorHistory = gwpeer.Kind{ID: 66, Name: "operatorHistory", OperatorOnly: true}
	KindOperatorMembers = gwpeer.Kind{ID: 68, Name: "operatorMembers", OperatorOnly: true}
	KindOperatorAwait   = gwpeer.Kind{ID: 69, Name: "operatorAwait", OperatorOnly: true}
	KindOperatorDrain   = gwpeer.Kind{ID: 70, Name: "operatorDrain", OperatorOnly: true}
)

// Kinds with which an instance passes operators' calls on to another.
var (
	kindAwaitManifest = gwpeer.Kind{ID: 71, Name: "awaitManifest"}
	kindDrain         = gwpeer.Kind{ID: 72, Name: "drain"}
)

// Codes of errors that operators receive.
const (
	// CodeRefused means that the request was understood and must not be repeated as it is.
	CodeRefused = "refused"
	// CodeUnavailable means that the leader or an instance could not be reached in time.
	CodeUnavailable = "unavailable"
)

// MemberStatus is a live member as one instance sees it.
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
	// Limit is how long to wait for those that have not.
	Limit time.Duration `cbor:"2,keyasint"`
}

// AwaitResult lists the live instances by whether they have the manifest in force.
type AwaitResult struct {
	InForce []string `cbor:"1,keyasint" json:"inForce"`
	Missing []string `cbor:"2,keyasint" json:"missing"`
}

// DrainRequest asks an instance to stop gracefully.
type DrainRequest struct {
	Instance string `cbor:"1,keyasint"`
}

// serveOperators registers the calls of operators at the links.
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
		return i.awaitEverywhere(ctx, r), nil
	})
	gwpeer.Handle(i.node, KindOperatorDrain, i.operatorDrain)
	gwpeer.Handle(i.node, kindAwaitManifest, func(ctx context.Context, _ string, r AwaitRequest) (gwcontrol.Empty, error) {
		return gwcontrol.Empty{}, i.awaitManifest(ctx, r.Number)
	})
	gwpeer.Handle(i.node, kindDrain, func(_ context.Context, from string, _ DrainRequest) (gwcontrol.Empty, error) {
		return gwcontrol.Empty{}, i.drainSelf(from)
	})
}

func (i *Instance) operatorPublish(ctx context.Context, from string, r gwcontrol.PublishRequest) (gwcontrol.PublishResult, error) {
	res, err := i.client.Publish(ctx, r.Text)
	if err != nil {
		i.Log.Warn("manifest of an operator not published", "operator", from, "bytes", len(r.Text), "error", err.Error())
		return res, operatorError(err)
	}
	i.Log.Info("manifest of an operator accepted", "operator", from, "number", res.Number, "digest", res.Digest, "resent", res.Resent)
	return res, nil
}

// operatorError gives an error of the leader, here or elsewhere, a code.
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

// awaitManifest waits until the manifest of that number or a later one is in force here.
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

// awaitParallel bounds the instances that are asked at once.
const awaitParallel = 256

// awaitEverywhere asks the live instances for the manifest in force. An
// instance that dies or leaves meanwhile is not counted.
func (i *Instance) awaitEverywhere(ctx context.Context, r AwaitRequest) AwaitResult {
	ctx, cancel := context.WithTimeout(ctx, r.Limit)
	defer cancel()
	live := i.members.Topology().Live
	has := make([]bool, len(live))
	var g errgroup.Group
	g.SetLimit(awaitParallel)
	for n, m := range live {
		g.Go(func() error {
			has[n] = i.awaitAt(ctx, m, r)
			return nil
		})
	}
	_ = g.Wait()
	out := AwaitResult{InForce: []string{}, Missing: []string{}}
	for n, m := range live {
		switch {
		case has[n]:
			out.InForce = append(out.InForce, m.Instance)
		case i.members.State(m.Instance).Live():
			out.Missing = append(out.Missing, m.Instance)
		}
	}
	return out
}

// awaitPause is the time between two attempts to reach an instance.
const awaitPause = 100 * time.Millisecond

// awaitAt waits until an instance has the manifest in force.
func (i *Instance) awaitAt(ctx context.Context, m gwmember.Member, r AwaitRequest) bool {
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
		case <-i.Clock.After(awaitPause):
		}
	}
	return false
}

// operatorDrain stops this instance, or passes the request on to the named one.
func (i *Instance) operatorDrain(ctx context.Context, from string, r DrainRequest) (gwcontrol.Empty, error) {
	if r.Instance == i.Settings.Instance {
		return gwcontrol.Empty{}, i.drainSelf(from)
	}
	m, ok := i.members.Topology().Member(r.Instance)
	if !ok {
		return gwcontrol.Empty{}, gwpeer.Codef(CodeRefused, "no live instance is named %q", r.Instance)
	}
	i.Log.Info("stop of an instance requested by an operator", "operator", from, "target", r.Instance)
	_, err := gwpeer.Call[DrainRequest, gwcontrol.Empty](ctx, i.node, m.Address, kindDrain, r)
	if code, remote := gwpeer.RemoteCode(err); remote && code != "" {
		var p *gwpeer.Error
		errors.As(err, &p)
		return gwcontrol.Empty{}, gwpeer.Codef(code, "%s", p.Err.Error())
	}
	return gwcontrol.Empty{}, operatorError(err)
}

func (i *Instance) drainSelf(from string) error {
	if i.Drain == nil {
		return gwpeer.Codef(CodeRefused, "instance %s is not run by serve and cannot be stopped this way", i.Settings.Instance)
	}
	i.Log.Info("graceful stop requested", "from", from)
	i.Drain()
	return nil
}
