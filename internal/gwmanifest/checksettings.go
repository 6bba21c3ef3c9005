package gwmanifest

import (
	"encoding/hex"
	"net/netip"
)

// Limits of the settings.
const (
	minSessionKeyBytes = 32 // the security strength of HMAC-SHA-256
	maxSessionKeyBytes = 64
	maxClockDrift      = 0.5
)

// checkSettings checks the values of settings whose fields have the right types.
func (c *checker) checkSettings(s *Settings) {
	c.checkName("instance", s.Instance)
	c.checkName("dataCentre", s.DataCentre)
	c.checkName("region", s.Region)
	c.checkAddress("callerAddress", s.CallerAddress, false)
	c.checkAddress("operatorAddress", s.OperatorAddress, false)
	c.checkAddress("peerAddress", s.PeerAddress, true)
	if s.CallerAddress != "" && s.CallerAddress == s.OperatorAddress {
		c.addInvalid("operatorAddress", "an address other than callerAddress", "both use %q", s.OperatorAddress)
	}
	c.checkSeeds(s)
	c.checkFiles(s)
	c.checkSessionKey(s.SessionKey)
	if c.isSet("maxClockDrift") && !(s.MaxClockDrift > 0 && s.MaxClockDrift <= maxClockDrift) {
		c.addInvalid("maxClockDrift", "a fraction above 0, up to 0.5", "the value is %v", s.MaxClockDrift)
	}
}

func (c *checker) checkSeeds(s *Settings) {
	seen := map[string]string{}
	for i, seed := range s.Seeds {
		path := indexPath("seeds", i)
		if c.checkAddress(path, seed, true) {
			c.checkDistinct(seen, path, seed)
		}
	}
	if len(s.Seeds) == 0 && s.Bootstrap == "" {
		c.addMissing("seeds", "a peer address of another instance, or a bootstrap file for the first instance")
	}
}

func (c *checker) checkFiles(s *Settings) {
	if s.Bootstrap != "" && s.DataFolder == "" {
		c.addInvalid("bootstrap", "a dataFolder too", "only a voter, which has a data folder, can start a deployment")
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
			c.addMissing(r.path, "the path of a PEM file")
		}
	}
	if s.CallerTLS != nil || s.CallerAddress == "" {
		return
	}
	if ap, err := netip.ParseAddrPort(s.CallerAddress); err == nil && !ap.Addr().IsLoopback() {
		c.addMissing("callerTLS", "certificate and key files, because callerAddress is not on loopback")
	}
}

func (c *checker) checkSessionKey(key string) {
	const format = "64 to 128 hexadecimal digits, equal on all instances"
	if key == "" {
		c.addMissing("sessionKey", format)
		return
	}
	// The error does not contain the value, because it is a secret.
	b, err := hex.DecodeString(key)
	if err != nil {
		c.addInvalid("sessionKey", format, "the key is not hexadecimal")
		return
	}
	if len(b) < minSessionKeyBytes || len(b) > maxSessionKeyBytes {
		c.addInvalid("sessionKey", format, "the key has %d digits", len(key))
	}
}
