package gwdaemon

import (
	"context"
	"errors"
	"io/fs"
	"path"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/internal/gwstate"
	"gentianward.example/gentianward/internal/gwstore"
	"gentianward.example/gentianward/internal/gwwire"
)

// viewFile holds the view of an instance with a data folder, so that a restarted voter
// does not use an older manifest before it knows which entries are committed.
const viewFile = "view"

// viewStore saves and loads the view and the directory in the data folder.
type viewStore struct {
	fs     gwstore.FS
	folder string
}

// save replaces the view file. The view is durable when it returns.
func (s *viewStore) save(v *gwcontrol.View) error {
	b, err := cbor.Marshal(v.Since(0, 0))
	if err != nil {
		return err
	}
	return gwstore.WriteFile(s.fs, s.folder, viewFile, b)
}

// load returns the saved view, or a zero one if there is none.
func (s *viewStore) load() (gwcontrol.ViewDelta, error) {
	var d gwcontrol.ViewDelta
	b, err := s.fs.ReadFile(path.Join(s.folder, viewFile))
	if errors.Is(err, fs.ErrNotExist) {
		return d, nil
	}
	if err != nil {
		return d, err
	}
	return d, gwstore.Decode(b, &d)
}

// directoryFile holds the directory of an instance with a data folder, so that after a
// restart of all instances nothing waits for the announcements of backend servers, the
// last of which came 3 s after such a restart.
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
	return gwpeer.UnmarshalEach[gwcontrol.ServerFacts](b)
}

// loadDirectory fills the directory with the backend servers that an earlier run saved.
// Their announcements override this, so that an unreadable file is only logged.
func (i *Instance) loadDirectory() {
	facts, err := i.viewStore.loadDirectory()
	if err != nil {
		i.Log.Warn("known backend servers not loaded", "error", err.Error())
		return
	}
	i.directory.Merge(gwcontrol.Usable(facts, func(f gwcontrol.ServerFacts, err error) {
		i.Log.Warn("entry of the saved directory skipped", "server", f.Server, "error", err.Error())
	}))
}

// watchDirectory saves the directory after each change.
func (i *Instance) watchDirectory(ctx context.Context) {
	for {
		changed := i.directory.Changed()
		var retry <-chan time.Time
		if err := i.viewStore.saveDirectory(i.directory.All()); err != nil {
			i.Log.Error("known backend servers not saved", "error", err.Error())
			retry = i.Clock.After(saveRetryInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-retry:
		}
	}
}

// saveRetryInterval is the time between a failed save of the view or the directory and the
// next attempt.
const saveRetryInterval = time.Second

// loadView loads the view and the directory that an earlier run saved.
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

// watchView saves each new view and applies the limits of its manifest.
func (i *Instance) watchView(ctx context.Context) {
	for {
		changed := i.views.Changed()
		var retry <-chan time.Time
		if v := i.views.Current(); i.viewStore != nil && v.Number > 0 {
			if err := i.viewStore.save(v); err != nil {
				i.Log.Error("view not saved", "error", err.Error())
				retry = i.Clock.After(saveRetryInterval)
			}
		}
		if m := i.views.Current().Manifest; m != nil && i.pgServer != nil {
			// Idle transactions are bounded by the owner of the backend server.
			i.pgServer.SetLimits(gwwire.Limits{MessageBytes: m.Manifest().Limits.MessageBytes})
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-retry:
		}
	}
}

// updateView updates the view of this instance from the replicated state.
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
			Changing: g.Phase == gwstate.Changing, Index: d.Index, Wait: g.Wait,
		}
		known := old.Groups[g.Name]
		known.Index = d.Index
		if known != v {
			d.Groups = append(d.Groups, v)
		}
	}
	if d.Index <= old.Index {
		// A restarted voter applies entries again that its saved view already includes.
		return
	}
	if _, err := i.views.Apply(d); err != nil {
		i.Log.Error("replicated state not applied to the view", "error", err)
	}
}

// publishInitialManifest publishes InitialManifest as soon as this voter leads, unless
// there is a manifest already.
func (i *Instance) publishInitialManifest(ctx context.Context) {
	ticker := i.Clock.NewTicker(initialPublishInterval)
	defer ticker.Stop()
	for i.InitialManifest != nil && i.views.Current().Number == 0 {
		if i.consensus.Leading() {
			cctx, cancel := context.WithTimeout(ctx, time.Second)
			_, err := i.leader.Publish(cctx, gwcontrol.PublishRequest{Text: i.InitialManifest.Text()})
			cancel()
			if err != nil {
				i.Log.Warn("initial manifest not published", "error", err)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// initialPublishInterval is the interval of attempts to publish the initial manifest.
const initialPublishInterval = 20 * time.Millisecond
