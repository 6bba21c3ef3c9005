package gwwire

import (
	"crypto/rand"
	"encoding/binary"
	"sync"
)

// CancelKey is the process ID and secret that a session announces in BackendKeyData and
// that identify it in cancel requests.
type CancelKey struct {
	ProcessID uint32 `json:"processId" cbor:"1,keyasint"`
	Secret    uint32 `json:"secret" cbor:"2,keyasint"`
}

// Prefix returns the CancelPrefix of the instance that issued the key.
func (k CancelKey) Prefix() uint16 { return uint16(k.ProcessID >> 16) }

const registryShards = 16

// sessionRegistry holds the open sessions of a Server by cancel key, sharded to reduce
// lock contention.
type sessionRegistry struct {
	prefix uint16
	shards [registryShards]struct {
		mu    sync.Mutex
		conns map[CancelKey]*conn
	}
}

// add registers c under a new, unique cancel key.
func (r *sessionRegistry) add(c *conn) {
	for {
		var b [6]byte
		_, _ = rand.Read(b[:])
		key := CancelKey{
			ProcessID: uint32(r.prefix)<<16 | uint32(binary.BigEndian.Uint16(b[:])),
			Secret:    binary.BigEndian.Uint32(b[2:]),
		}
		s := &r.shards[key.ProcessID%registryShards]
		s.mu.Lock()
		_, taken := s.conns[key]
		if !taken {
			if s.conns == nil {
				s.conns = make(map[CancelKey]*conn)
			}
			c.key = key
			s.conns[key] = c
		}
		s.mu.Unlock()
		if !taken {
			return
		}
	}
}

func (r *sessionRegistry) remove(c *conn) {
	s := &r.shards[c.key.ProcessID%registryShards]
	s.mu.Lock()
	delete(s.conns, c.key)
	s.mu.Unlock()
}

func (r *sessionRegistry) find(key CancelKey) *conn {
	s := &r.shards[key.ProcessID%registryShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns[key]
}

// forEach calls fn for every session. No lock is held during the calls.
func (r *sessionRegistry) forEach(fn func(*conn)) {
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		conns := make([]*conn, 0, len(s.conns))
		for _, c := range s.conns {
			conns = append(conns, c)
		}
		s.mu.Unlock()
		for _, c := range conns {
			fn(c)
		}
	}
}
