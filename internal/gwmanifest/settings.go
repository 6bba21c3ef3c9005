package gwmanifest

import (
	"path/filepath"

	"github.com/tailscale/hujson"
)

// Settings are the local configuration of one instance.
type Settings struct {
	Instance        string    `json:"instance"`
	DataCentre      string    `json:"dataCentre"`
	Region          string    `json:"region"`
	CallerAddress   string    `json:"callerAddress"`
	PeerAddress     string    `json:"peerAddress"`
	OperatorAddress string    `json:"operatorAddress"`
	Seeds           []string  `json:"seeds"`      // peer addresses of other instances
	DataFolder      string    `json:"dataFolder"` // of a voter; stores the replicated log
	Bootstrap       string    `json:"bootstrap"`  // manifest file for the first start of a deployment
	Keys            Keys      `json:"keys"`
	CallerTLS       *TLSFiles `json:"callerTLS"`
	TrustLoopback   bool      `json:"trustLoopback"`
	SessionKey      string    `json:"sessionKey"` // hexadecimal, equal on all instances
	MaxClockDrift   float64   `json:"maxClockDrift"`

	file string // file, text and root locate the problems that CheckSettings finds
	text []byte
	root hujson.Value
}

// Keys are the paths of the PEM files for connections between instances.
type Keys struct {
	CA          string `json:"ca"`
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// TLSFiles are the paths of the PEM files for connections from callers.
type TLSFiles struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// DefaultMaxClockDrift is the default of the fraction by which the speeds of two clocks
// may differ. It prolongs the time after which a lease counts as expired.
const DefaultMaxClockDrift = 0.01

// ParseSettings parses and validates settings. The error joins one *Error for each
// problem; name is the file name in them.
func ParseSettings(name string, text []byte) (*Settings, error) {
	s := &Settings{}
	c, err := parse("parse settings", name, text, s)
	if err != nil {
		return nil, err
	}
	c.checkSettings(s)
	if err := c.err(); err != nil {
		return nil, err
	}
	s.file, s.text, s.root = name, c.text, c.root
	return s, nil
}

// WithDefaults returns a copy in which omitted fields have their default values and
// relative paths are resolved against the folder of the settings file.
func (s *Settings) WithDefaults() *Settings {
	out := *s
	out.MaxClockDrift = orDefault(s.MaxClockDrift, DefaultMaxClockDrift)
	out.DataFolder = s.path(s.DataFolder)
	out.Bootstrap = s.path(s.Bootstrap)
	out.Keys = Keys{CA: s.path(s.Keys.CA), Certificate: s.path(s.Keys.Certificate), Key: s.path(s.Keys.Key)}
	if s.CallerTLS != nil {
		out.CallerTLS = &TLSFiles{Certificate: s.path(s.CallerTLS.Certificate), Key: s.path(s.CallerTLS.Key)}
	}
	return &out
}

func (s *Settings) path(p string) string {
	if p == "" || filepath.IsAbs(p) {
		return p
	}
	return filepath.Join(filepath.Dir(s.file), p)
}
