package gwmanifest

import (
	"encoding/hex"
	"net/netip"
)

// Bounds of settings.
const (
	minSessionKeyBytes = 32 // the strength of HMAC-SHA-256
	maxSessionKeyBytes = 64
	maxClockDrift      = 0.5
)

// settings checks the meaning of settings whose types are right.
func (c *checker) settings(s *Settings) {
	c.name("instance", s.Instance)
	c.name("dataCentre", s.DataCentre)
	c.name("region", s.Region)
	c.address("callerAddress", s.CallerAddress, false)
	c.address("operatorAddress", s.OperatorAddress, false)
	c.address("peerAddress", s.PeerAddress, true)
	if s.CallerAddress != "" && s.CallerAddress == s.OperatorAddress {
		c.value("operatorAddress", "an address other than callerAddress", "both use %q", s.OperatorAddress)
	}
	c.seeds(s)
	c.files(s)
	c.sessionKey(s.SessionKey)
	if c.given("maxClockDrift") && !(s.MaxClockDrift > 0 && s.MaxClockDrift <= maxClockDrift) {
		c.value("maxClockDrift", "a fraction above 0, up to 0.5", "the value is %v", s.MaxClockDrift)
	}
}

func (c *checker) seeds(s *Settings) {
	seen := map[string]string{}
	for i, seed := range s.Seeds {
		path := index("seeds", i)
		if c.address(path, seed, true) {
			c.distinct(seen, path, seed)
		}
	}
	if len(s.Seeds) == 0 && s.Bootstrap == "" {
		c.missing("seeds", "a peer address of another instance, or a bootstrap file for the first instance")
	}
}

func (c *checker) files(s *Settings) {
	if s.Bootstrap != "" && s.DataFolder == "" {
		c.value("bootstrap", "a dataFolder too", "only a voter, which has a data folder, can start a deployment")
	}
	required := []struct{ path, value string }{
		{"keys.ca", s.Keys.CA},
		{"keys.certificate", s.Keys.Certificate},
		{"keys.key", s.Keys.Key},
	}
	if s.CallerTLS != nil {
		required = append(required,
			struct{ path, value string }{"callerTLS.certificate", s.CallerTLS.Certificate},
			struct{ path, value string }{"callerTLS.key", s.CallerTLS.Key})
	}
	for _, r := range required {
		if r.value == "" {
			c.missing(r.path, "the path of a PEM file")
		}
	}
	if s.CallerTLS != nil || s.CallerAddress == "" {
		return
	}
	if ap, err := netip.ParseAddrPort(s.CallerAddress); err == nil && !ap.Addr().IsLoopback() {
		c.missing("callerTLS", "certificate and key files, because callerAddress is not on loopback")
	}
}

func (c *checker) sessionKey(key string) {
	const form = "64 to 128 hexadecimal digits, equal on all instances"
	if key == "" {
		c.missing("sessionKey", form)
		return
	}
	// The value is a secret and is not repeated.
	b, err := hex.DecodeString(key)
	if err != nil {
		c.value("sessionKey", form, "the key is not hexadecimal")
		return
	}
	if len(b) < minSessionKeyBytes || len(b) > maxSessionKeyBytes {
		c.value("sessionKey", form, "the key has %d digits", len(key))
	}
}
