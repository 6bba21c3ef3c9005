package gwdeploy

import (
	"io/fs"
	"path"
	"slices"
	"strings"
	"time"

	gwexamples "gentianward.example/gentianward/examples"
	"gentianward.example/gentianward/internal/gwmanifest"
)

// Plan describes a deployment: its example files, its network, and the limits of its
// stand-ins.
type Plan struct {
	Name     string
	Manifest *gwmanifest.Manifest
	// Settings holds the settings of the instances, ordered by caller address.
	Settings []*gwmanifest.Settings
	// IntraRegionDelay and InterRegionDelay are the one-way delays between two data centres
	// of the same region and of different regions.
	IntraRegionDelay, InterRegionDelay time.Duration
	// Bandwidth is that between two regions, in bits per second each way.
	Bandwidth   int64
	Slots       int           // of each stand-in: statements executing at once
	Connections int           // of each stand-in: client connections
	ConnectCost time.Duration // time that a new connection to a stand-in takes
}

// Values that both deployments share; the bandwidth is in bits per second.
const (
	interRegionDelay     = 30 * time.Millisecond
	interRegionBandwidth = 30_000_000
	connectCost          = 12 * time.Millisecond
	slots                = 2
)

// Names of the deployments.
const (
	Ecodour = "ecodour"
	Hanbit  = "hanbit"
)

// NewPlan returns the plan of the deployment with that name, or an Error of kind
// UnknownDeployment.
func NewPlan(name string) (*Plan, error) {
	p := &Plan{Name: name, InterRegionDelay: interRegionDelay, Bandwidth: interRegionBandwidth, ConnectCost: connectCost, Slots: slots}
	switch name {
	case Ecodour:
		p.IntraRegionDelay, p.Connections = 500*time.Microsecond, 16
	case Hanbit:
		p.IntraRegionDelay, p.Connections = time.Millisecond, 30
	default:
		return nil, &Error{Op: "plan", Kind: UnknownDeployment, Detail: "deployment \"" + name + "\" is neither ecodour nor hanbit"}
	}
	if err := p.load(); err != nil {
		return nil, err
	}
	return p, nil
}

func (p *Plan) load() error {
	entries, err := fs.ReadDir(gwexamples.Files, p.Name)
	if err != nil {
		return err
	}
	for _, e := range entries {
		name := path.Join(p.Name, e.Name())
		text, err := gwexamples.Files.ReadFile(name)
		if err != nil {
			return err
		}
		if e.Name() == "manifest.jsonc" {
			if p.Manifest, err = gwmanifest.ParseManifest(name, text); err != nil {
				return err
			}
			continue
		}
		s, err := gwmanifest.ParseSettings(name, text)
		if err != nil {
			return err
		}
		p.Settings = append(p.Settings, s.WithDefaults())
	}
	slices.SortFunc(p.Settings, func(a, b *gwmanifest.Settings) int {
		return strings.Compare(a.CallerAddress, b.CallerAddress)
	})
	return nil
}

// dataCentres returns the names of the data centres in the order of the manifest.
func (p *Plan) dataCentres() []string {
	var out []string
	for _, r := range p.Manifest.Regions {
		out = append(out, r.DataCentres...)
	}
	return out
}

// region returns the region of a data centre.
func (p *Plan) region(dataCentre string) string {
	for _, r := range p.Manifest.Regions {
		if slices.Contains(r.DataCentres, dataCentre) {
			return r.Name
		}
	}
	return ""
}

// delay returns the one-way delay between two data centres.
func (p *Plan) delay(a, b string) time.Duration {
	switch {
	case a == b:
		return 0
	case p.region(a) == p.region(b):
		return p.IntraRegionDelay
	default:
		return p.InterRegionDelay
	}
}
