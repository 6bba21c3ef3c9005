package gwdaemon

import (
	"context"
	"errors"
	"io/fs"
	"path"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/internal/gwstore"
	"gentianward.example/gentianward/pkg/gwmember"
)

// knownFile holds addresses at which other instances ran. The seeds of the settings may all
// be gone when an instance starts again; after several replacements and a loss of power
// everywhere, no instance knew the address of another one.
const knownFile = "known"

// knownInterval is the minimum time between two saves of the known addresses.
const knownInterval = 2 * time.Second

func (s *viewStore) saveKnown(known []gwmember.KnownAddress) error {
	b, err := cbor.Marshal(known)
	if err != nil {
		return err
	}
	return gwstore.WriteFile(s.fs, s.folder, knownFile, b)
}

func (s *viewStore) loadKnown() ([]gwmember.KnownAddress, error) {
	b, err := s.fs.ReadFile(path.Join(s.folder, knownFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return gwpeer.UnmarshalEach[gwmember.KnownAddress](b)
}

// loadKnown returns the addresses that an earlier run saved, without those that cannot be
// read. Nothing else depends on them, so that an unreadable file is only logged.
func (i *Instance) loadKnown() []gwmember.KnownAddress {
	if i.viewStore == nil {
		return nil
	}
	all, err := i.viewStore.loadKnown()
	if err != nil {
		i.Log.Warn("known addresses not loaded", "error", err.Error())
		return nil
	}
	return slices.DeleteFunc(all, func(k gwmember.KnownAddress) bool {
		err := k.Check()
		if err != nil {
			i.Log.Warn("known address skipped", "error", err.Error())
		}
		return err != nil
	})
}

// watchKnown saves the known addresses after changes, at most once per knownInterval. The
// voters that the replicated log names are among them, as the file may be older than the log.
func (i *Instance) watchKnown(ctx context.Context) {
	ticker := i.Clock.NewTicker(knownInterval)
	defer ticker.Stop()
	var saved []gwmember.KnownAddress
	for {
		i.members.AddKnown(i.voterAddresses())
		if known := i.members.Known(); !slices.Equal(known, saved) {
			if err := i.viewStore.saveKnown(known); err != nil {
				i.Log.Error("known addresses not saved", "error", err.Error())
			} else {
				saved = slices.Clone(known)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// voterAddresses returns the addresses of the voters and learners that the replicated log
// names.
func (i *Instance) voterAddresses() []gwmember.KnownAddress {
	if i.consensus == nil {
		return nil
	}
	var out []gwmember.KnownAddress
	for _, instance := range i.consensus.VoterInstances() {
		if address, ok := i.voterAddress(instance); ok {
			out = append(out, gwmember.KnownAddress{Address: address, Control: true})
		}
	}
	return out
}
