package gwdaemon

import (
	"context"
	"errors"
	"io/fs"
	"path"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/internal/gwstate"
	"gentianward.example/gentianward/internal/gwstore"
	"gentianward.example/gentianward/internal/gwwire"
)

// viewFile keeps the view of an instance with a data folder, so that a restart
// does not bring back an older manifest while the voter does not know yet what
// has been committed.
const viewFile = "view"

// viewStore writes the view to the data folder.
type viewStore struct {
	fs     gwstore.FS
	folder string
}

// save replaces the file; the view is durable when it returns.
func (s *viewStore) save(v *gwcontrol.View) error {
	b, err := cbor.Marshal(v.Since(0, 0))
	if err != nil {
		return err
	}
	return gwstore.WriteFile(s.fs, s.folder, viewFile, b)
}

func (s *viewStore) load() (gwcontrol.ViewDelta, error) {
	var d gwcontrol.ViewDelta
	b, err := s.fs.ReadFile(path.Join(s.folder, viewFile))
	if errors.Is(err, fs.ErrNotExist) {
		return d, nil
	}
	if err != nil {
		return d, err
	}
	return d, cbor.Unmarshal(b, &d)
}

// directoryFile keeps the backend servers that an instance with a data folder
// knew, so that a restart of all need not wait for their announcements, the last of
// which came 3 s after the restart.
const directoryFile = "directory"

func (s *viewStore) saveDirectory(facts []gwcontrol.ServerFacts) error {
	b, err := cbor.Marshal(facts)
	if err != nil {
		return err
	}
	return gwstore.WriteFile(s.fs, s.folder, directoryFile, b)
}

func (s *viewStore) loadDirectory() ([]gwcontrol.ServerFacts, error) {
	b, err := s.fs.ReadFile(path.Join(s.folder, directoryFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var facts []gwcontrol.ServerFacts
	return facts, cbor.Unmarshal(b, &facts)
}

// loadDirectory starts with the backend servers that an earlier run knew. What they
// announce overrides it, so that an unreadable file is only reported.
func (i *Instance) loadDirectory() {
	facts, err := i.viewStore.loadDirectory()
	if err != nil {
		i.Log.Warn("known backend servers not loaded", "error", err.Error())
		return
	}
	i.directory.Merge(facts)
}

// watchDirectory saves the known backend servers after each change.
func (i *Instance) watchDirectory(ctx context.Context) {
	for {
		changed := i.directory.Changed()
		if err := i.viewStore.saveDirectory(i.directory.All()); err != nil {
			i.Log.Error("known backend servers not saved", "error", err.Error())
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// loadView starts with the view that an earlier run saved.
func (i *Instance) loadView() error {
	if i.FS == nil || i.Settings.DataFolder == "" {
		return nil
	}
	if err := i.FS.MkdirAll(i.Settings.DataFolder); err != nil {
		return err
	}
	i.viewStore = &viewStore{fs: i.FS, folder: i.Settings.DataFolder}
	i.loadDirectory()
	d, err := i.viewStore.load()
	if err != nil || d.Number == 0 {
		return err
	}
	_, err = i.views.Apply(d)
	return err
}

// watchView saves each new view and applies the manifest's limits.
func (i *Instance) watchView(ctx context.Context) {
	for {
		changed := i.views.Changed()
		if v := i.views.Current(); i.viewStore != nil && v.Number > 0 {
			if err := i.viewStore.save(v); err != nil {
				i.Log.Error("view not saved", "error", err)
			}
		}
		if m := i.views.Current().Manifest; m != nil && i.pgServer != nil {
			// The owner of a backend server bounds idle transactions itself.
			i.pgServer.SetLimits(gwwire.Limits{MessageBytes: m.Manifest().Limits.MessageBytes})
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// updateView turns the replicated state into the view of this instance.
func (i *Instance) updateView() {
	state := i.consensus.State
	old := i.views.Current()
	d := gwcontrol.ViewDelta{From: old.Index, Index: state.Index()}
	if m := state.Manifest(); m.Number > old.Number {
		d.Number, d.Text = m.Number, []byte(m.Text)
	} else {
		d.Number = old.Number
	}
	for _, g := range state.Groups() {
		v := gwcontrol.GroupView{
			Group: g.Name, Primary: g.Primary, Term: g.Term, Start: g.Start,
			Changing: g.Phase == gwstate.Changing, Index: d.Index,
		}
		known := old.Groups[g.Name]
		known.Index = d.Index
		if known != v {
			d.Groups = append(d.Groups, v)
		}
	}
	if d.Index <= old.Index {
		// A restarted voter applies again what its saved view already has.
		return
	}
	if _, err := i.views.Apply(d); err != nil {
		i.Log.Error("agreed state not applied", "error", err)
	}
}

// publishInitialManifest publishes the manifest of a first start once this voter leads.
func (i *Instance) publishInitialManifest(ctx context.Context) {
	ticker := i.Clock.NewTicker(initialPublishInterval)
	defer ticker.Stop()
	for i.InitialManifest != nil && i.views.Current().Number == 0 {
		if i.consensus.Leading() {
			cctx, cancel := context.WithTimeout(ctx, time.Second)
			_, err := i.leader.Publish(cctx, gwcontrol.PublishRequest{Text: i.InitialManifest.Text()})
			cancel()
			if err != nil {
				i.Log.Warn("first manifest not published", "error", err)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

const initialPublishInterval = 20 * time.Millisecond
