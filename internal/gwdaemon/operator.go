package gwdaemon

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	jsonv2 "github.com/go-json-experiment/json"

	"gentianward.example/gentianward/internal/gwcontrol"
)

// Limits of the HTTP interface.
const (
	httpTimeout     = 5 * time.Second
	announceTimeout = time.Second
	maxAnnounceBody = 64 << 10
)

// Status describes one instance for operators.
type Status struct {
	Instance       string        `cbor:"1,keyasint" json:"instance"`
	DataCentre     string        `cbor:"2,keyasint" json:"dataCentre"`
	ManifestNumber uint64        `cbor:"3,keyasint" json:"manifestNumber"`
	ControlIndex   uint64        `cbor:"4,keyasint" json:"controlIndex"`
	Leader         string        `cbor:"5,keyasint" json:"leader,omitempty"`
	Voter          bool          `cbor:"6,keyasint" json:"voter"`
	Ready          bool          `cbor:"7,keyasint" json:"ready"`
	Members        []string      `cbor:"8,keyasint" json:"members"`
	Groups         []GroupStatus `cbor:"9,keyasint" json:"groups"`
	Leases         []string      `cbor:"10,keyasint" json:"leases"`
	Servers        []string      `cbor:"11,keyasint" json:"servers"`
}

// GroupStatus describes one group for operators.
type GroupStatus struct {
	Group    string `cbor:"1,keyasint" json:"group"`
	Primary  string `cbor:"2,keyasint" json:"primary"`
	Term     uint64 `cbor:"3,keyasint" json:"term"`
	Changing bool   `cbor:"4,keyasint" json:"changing"`
}

// Status returns the state of the instance.
func (i *Instance) Status() Status {
	v := i.views.Current()
	s := Status{
		Members: []string{}, Groups: []GroupStatus{}, Servers: []string{},
		Instance: i.Settings.Instance, DataCentre: i.Settings.DataCentre, ManifestNumber: v.Number, ControlIndex: v.Index,
		Leader: i.client.Leader(), Voter: i.consensus != nil, Ready: i.Ready(), Leases: i.Leases(),
	}
	if i.consensus != nil {
		s.Leader = i.consensus.Status().Leader
	}
	for _, m := range i.members.Topology().Live {
		s.Members = append(s.Members, m.Instance)
	}
	for _, g := range v.Groups {
		s.Groups = append(s.Groups, GroupStatus{Group: g.Group, Primary: g.Primary, Term: g.Term, Changing: g.Changing})
	}
	slices.SortFunc(s.Groups, func(a, b GroupStatus) int {
		if a.Group < b.Group {
			return -1
		}
		return 1
	})
	for _, f := range i.directory.All() {
		s.Servers = append(s.Servers, f.Server)
	}
	slices.Sort(s.Servers)
	slices.Sort(s.Leases)
	if s.Leases == nil {
		s.Leases = []string{}
	}
	return s
}

// routes returns the default HTTP interface on the operators' address.
func (i *Instance) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announce", i.announceHTTP)
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, i.Status()) })
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !i.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	if i.Telemetry != nil {
		mux.Handle("GET /metrics", i.Telemetry)
	}
	mux.HandleFunc("GET "+PlacementPath, i.ServePlacement)
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (i *Instance) announceHTTP(w http.ResponseWriter, r *http.Request) {
	a, err := readAnnouncement(http.MaxBytesReader(w, r.Body, maxAnnounceBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), announceTimeout)
	defer cancel()
	if err := i.Announce(ctx, a); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// readAnnouncement decodes and checks an announcement. Unlike encoding/json, the decoder refuses a name
// that occurs twice, bytes that are not UTF-8 and text after the announcement, and compares names of
// fields byte by byte, so that the server is recorded as it means itself.
func readAnnouncement(r io.Reader) (gwcontrol.Announcement, error) {
	var a gwcontrol.Announcement
	if err := jsonv2.UnmarshalRead(r, &a); err != nil {
		return a, fmt.Errorf("announcement is not valid JSON: %w", err)
	}
	return a, checkAnnouncement(a)
}

// Publish asks the leader of the replicated log to make text the manifest.
func (i *Instance) Publish(ctx context.Context, text []byte) (gwcontrol.PublishResult, error) {
	return i.client.Publish(ctx, text)
}
