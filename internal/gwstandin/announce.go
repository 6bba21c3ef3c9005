package gwstandin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"
)

const (
	announceInterval = 500 * time.Millisecond
	announceTimeout  = time.Second
	announcePath     = "/v1/announce"
)

// Announcement is the JSON body that a server posts to the instances.
type Announcement struct {
	Server      string `json:"server"`
	Group       string `json:"group"`
	DataCentre  string `json:"dataCentre"`
	Address     string `json:"address"`
	Role        Role   `json:"role"`
	Term        uint64 `json:"term"`
	Offset      uint64 `json:"offset"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Leaving     bool   `json:"leaving"`
}

// announcement returns the current announcement and a channel that is closed when
// the next one must be sent at once.
func (s *Server) announcement() (Announcement, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.log.position()
	return Announcement{
		Server: s.o.Name, Group: s.o.Group, DataCentre: s.o.DataCentre, Address: s.address,
		Role: s.role, Term: p.Term, Offset: p.Offset,
		Slots: s.o.Slots, Connections: s.o.Connections, Leaving: s.leaving,
	}, s.changed
}

// announce posts announcements to one URL until the context ends. Each URL has its
// own goroutine, so that an unreachable instance does not delay the others.
func (s *Server) announce(ctx context.Context, target string) {
	if u, err := url.Parse(target); err == nil && (u.Path == "" || u.Path == "/") {
		target = u.JoinPath(announcePath).String()
	}
	client := &http.Client{Timeout: announceTimeout, Transport: &http.Transport{MaxIdleConns: 1}}
	defer client.CloseIdleConnections()
	ticker := s.o.Clock.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		if err := s.faults.waitUnfrozen(ctx); err != nil {
			return
		}
		a, changed := s.announcement()
		if fault, _ := s.faults.get(); fault.CutAnnouncements == nil || !fault.CutAnnouncements(target) {
			if err := post(ctx, client, target, a); err != nil {
				s.o.Logger.Debug("announcement failed", "url", target, "error", err)
			}
		}
		select {
		case <-ticker.Chan():
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func post(ctx context.Context, client *http.Client, target string, a Announcement) error {
	body, err := json.Marshal(a)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return newError("send announcement", KindConnection, "", "status %s", resp.Status)
	}
	return nil
}
