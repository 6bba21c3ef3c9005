package gwdaemon

import (
	"context"
	"errors"
	"fmt"
	"net"

	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/internal/gwpeer"
)

// kindAnnounced is the call that forwards an announcement to the owner of the server.
var kindAnnounced = gwpeer.Kind{ID: 67, Name: "announced", Priority: gwpeer.PriorityControl}

// Bounds of announcements.
const (
	maxNameBytes   = gwcontrol.MaxNameBytes
	maxSlots       = gwcontrol.MaxSlots
	maxConnections = gwcontrol.MaxConnections
)

// checkAnnouncement returns an error that names the first invalid field of a.
func checkAnnouncement(a gwcontrol.Announcement) error {
	for _, f := range []struct{ field, value string }{{"server", a.Server}, {"group", a.Group}, {"dataCentre", a.DataCentre}} {
		if f.value == "" || len(f.value) > maxNameBytes {
			return fmt.Errorf("announcement: %s must have 1 to %d characters", f.field, maxNameBytes)
		}
	}
	if _, _, err := net.SplitHostPort(a.Address); err != nil {
		return fmt.Errorf("announcement of %s: address %q is not of the form host:port", a.Server, a.Address)
	}
	if a.Slots < 0 || a.Slots > maxSlots || a.Connections < 0 || a.Connections > maxConnections {
		return fmt.Errorf("announcement of %s: slots and connections must be between 0 and %d", a.Server, maxSlots)
	}
	if a.Role != "primary" && a.Role != "replica" {
		return fmt.Errorf("announcement of %s: role %q is neither primary nor replica", a.Server, a.Role)
	}
	return a.Check()
}

// Limits of servers that announce none.
const (
	unlimitedSlots       = 1024
	unlimitedConnections = 1024
)

// Announce records an announcement of a backend server, on this instance if it owns the
// server and on the owner otherwise.
func (i *Instance) Announce(ctx context.Context, a gwcontrol.Announcement) error {
	if a.Slots == 0 {
		a.Slots = unlimitedSlots
	}
	if a.Connections == 0 {
		a.Connections = unlimitedConnections
	}
	t := i.members.Topology()
	m, ok := t.Owner(i.directory, a.Server, a.DataCentre, i.views.Current().Region(a.DataCentre))
	if !ok || m.Instance == t.Self.Instance {
		i.recordAnnouncement(ctx, a)
		return nil
	}
	_, err := gwpeer.Call[gwcontrol.Announcement, gwcontrol.Empty](ctx, i.node, m.Address, kindAnnounced, a)
	return err
}

// Record records an announcement whose version the server itself has set, so that any
// instance may record it.
func (i *Instance) Record(ctx context.Context, f gwcontrol.ServerFacts) {
	i.heartbeats.Record(f)
	changed := i.directory.Record(f)
	if len(changed) == 0 {
		return
	}
	for _, c := range changed {
		i.Log.Info("backend server announced", "server", c.Server, "group", c.Group, "address", c.Address,
			"leaving", c.Leaving, "gone", c.Gone, "born", c.Born, "version", c.Version)
	}
	i.disseminator.Broadcast(context.WithoutCancel(ctx), changed)
}

// Server returns the facts that the directory has about a backend server.
func (i *Instance) Server(name string) (gwcontrol.ServerFacts, bool) { return i.directory.Server(name) }

// KnowsGroup reports whether the manifest in force has the group. It returns true while
// there is no manifest.
func (i *Instance) KnowsGroup(name string) bool {
	m := i.views.Current().Manifest
	if m == nil {
		return true
	}
	_, ok := m.GroupByName(name)
	return ok
}

// CurrentManifest returns the newest manifest, as confirmed by a quorum of voters.
func (i *Instance) CurrentManifest(ctx context.Context) (gwcontrol.CurrentManifest, error) {
	return i.client.CurrentManifest(ctx)
}

// VoterSummary describes the instance's part in the replicated log, "" if it has none.
func (i *Instance) VoterSummary() string { return i.consensus.VoterSummary() }

// serveAnnouncements records the announcements that other instances forward.
func (i *Instance) serveAnnouncements() {
	gwpeer.Handle(i.node, kindAnnounced, func(ctx context.Context, _ string, a gwcontrol.Announcement) (gwcontrol.Empty, error) {
		if err := checkAnnouncement(a); err != nil {
			return gwcontrol.Empty{}, err
		}
		i.recordAnnouncement(context.WithoutCancel(ctx), a)
		return gwcontrol.Empty{}, nil
	})
}

// recordAnnouncement records the facts of an owned server, broadcasts them if they have
// changed, and reports the first primary of a group to the leader.
func (i *Instance) recordAnnouncement(ctx context.Context, a gwcontrol.Announcement) {
	if facts, changed := i.directory.Announce(a.ServerFacts); changed {
		i.Log.Info("backend server announced", "server", a.Server, "group", a.Group, "address", a.Address, "leaving", a.Leaving)
		i.disseminator.Broadcast(context.WithoutCancel(ctx), []gwcontrol.ServerFacts{facts})
	}
	v := i.views.Current()
	if _, known := v.Groups[a.Group]; known || a.Role != "primary" || v.Manifest == nil {
		return
	}
	if _, ok := v.Manifest.GroupByName(a.Group); !ok {
		return
	}
	i.startGroup(ctx, a)
}

// startGroup reports the first primary of a group to the leader, unless a report about
// the group is under way.
func (i *Instance) startGroup(ctx context.Context, a gwcontrol.Announcement) {
	i.mu.Lock()
	running := i.startingGroups[a.Group]
	i.startingGroups[a.Group] = true
	i.mu.Unlock()
	if running {
		return
	}
	go func() {
		defer func() {
			i.mu.Lock()
			defer i.mu.Unlock()
			delete(i.startingGroups, a.Group)
		}()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), httpTimeout)
		defer cancel()
		if err := i.client.StartGroup(ctx, a); err != nil && !errors.Is(err, context.Canceled) {
			i.Log.Warn("group not started with its first primary", "group", a.Group, "primary", a.Server, "error", err)
		}
	}()
}
