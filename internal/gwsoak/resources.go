package gwsoak

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"gentianward.example/gentianward/platform/platformtest"
)

const (
	// resourceInterval is the interval at which memory and descriptors of processes are read.
	resourceInterval = 500 * time.Millisecond
	// leaversAtEntry is how many sessions end at once at each entry instance of the scenario
	// leavingCallers.
	leaversAtEntry = 4
	// A process may use this much more at the end of leavingCallers than in its first half:
	// the heap of a Go program doubles between collections, and connections to servers and
	// instances come and go.
	moreDescriptors = 32
	moreMemory      = 64 << 20 // bytes
)

// usage is what a process uses.
type usage struct {
	descriptors int
	memory      int // resident, in bytes
}

func (u usage) highest(o usage) usage {
	return usage{max(u.descriptors, o.descriptors), max(u.memory, o.memory)}
}

// grewFrom reports whether a process uses more at the end of leavingCallers than at most in its
// first half.
func (u usage) grewFrom(before usage) bool {
	return u.descriptors > before.descriptors+moreDescriptors || u.memory > 2*before.memory+moreMemory
}

// String describes a usage.
func (u usage) String() string {
	return fmt.Sprintf("%d descriptors and %d bytes", u.descriptors, u.memory)
}

// usage returns what the process uses; ok is false if it does not run or the system does not say.
func (p *process) usage() (u usage, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return usage{}, false
	}
	folder := fmt.Sprintf("/proc/%d", p.cmd.Process.Pid)
	files, err := os.ReadDir(folder + "/fd")
	if err != nil {
		return usage{}, false
	}
	text, err := os.ReadFile(folder + "/statm") // pages: total, resident
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 2 {
		return usage{}, false
	}
	pages, err := strconv.Atoi(fields[1])
	return usage{len(files), pages * os.Getpagesize()}, err == nil
}

// watchResources records the highest usage of each process, and that no entry instance has
// more descriptors than its settings allow.
func (r *Run) watchResources(ctx context.Context) {
	for sleep(ctx, resourceInterval) {
		for _, p := range r.processes() {
			u, ok := p.usage()
			if !ok {
				continue
			}
			if p.settings.ServesCallers && u.descriptors > p.settings.MaxFiles {
				r.check.brokenStatement(string(RuleResources), "", fmt.Sprintf("%s has %d descriptors, of %d", p.settings.Name, u.descriptors, p.settings.MaxFiles))
			}
			r.mu.Lock()
			r.usage[p] = r.usage[p].highest(u)
			r.mu.Unlock()
		}
	}
}

// usageOf returns the highest usage of the processes that serve callers or control.
func (r *Run) usageOf(callers bool) usage {
	r.mu.Lock()
	defer r.mu.Unlock()
	var most usage
	for p, u := range r.usage {
		if p.settings.ServesCallers == callers {
			most = most.highest(u)
		}
	}
	return most
}

// leavingCallers opens sessions that end in all the ways in which callers leave. What the
// processes use at the end of it must not be much more than in its first half.
func leavingCallers(ctx context.Context, r *Run) {
	half := r.o.For / 2
	r.leave(ctx, half)
	first := make(map[*process]usage)
	r.mu.Lock()
	for p, u := range r.usage {
		first[p] = u
	}
	clear(r.usage)
	r.mu.Unlock()
	r.leave(ctx, half)
	if !sleep(ctx, stableTime) { // what callers left is given up
		return
	}
	for p, before := range first {
		u, ok := p.usage()
		if ok && u.grewFrom(before) {
			r.check.violate(RuleResources, "", "%s uses %s at the end, and %s at most in the first half", p.settings.Name, u, before)
		}
	}
}

// leave opens sessions at every entry instance for a time.
func (r *Run) leave(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	var wg sync.WaitGroup
	for i, p := range r.entries {
		for k := range leaversAtEntry {
			n := leaverNumbers + i*leaversAtEntry + k
			l := leaver{r: r, p: p, number: n, hostile: platformtest.NewHostile(r.o.Seed<<callerBits + uint64(n))}
			wg.Go(func() {
				for sleep(ctx, time.Duration(l.hostile.Intn(int(maxPause)))) {
					l.session(ctx)
				}
			})
		}
	}
	wg.Wait()
}

// leaverNumbers is above the numbers of other callers, so that ids differ.
const leaverNumbers = 1 << 17

// leaver is a caller whose sessions end early.
type leaver struct {
	r       *Run
	p       *process
	number  int
	hostile *platformtest.Hostile
}

func (l *leaver) id() string {
	return fmt.Sprintf("%08x%08x", l.number, l.r.leaverIDs.Add(1))
}

// session opens a session and leaves it in one of several ways.
func (l *leaver) session(ctx context.Context) {
	const unread = time.Millisecond // too short for most answers
	g := l.r.groups[l.hostile.Intn(len(l.r.groups))]
	database := g.Name()
	if l.hostile.Chance(0.1) {
		database = "none" + l.hostile.Word()
	}
	l.r.check.count("sessions of leaving callers")
	s, _, err := platformtest.OpenSession(ctx, l.p.settings.CallerAddress, database, openTimeout, l.r.check.statements.Session(g.Name()))
	if err != nil || s == nil {
		return
	}
	defer s.Close()
	store := fmt.Sprintf("STORE leaver%d %s", l.number, l.hostile.Data(longPiece))
	statements := []string{
		"SET v " + l.hostile.Text(), "PREPARE s STORE q" + l.hostile.Text(), "BEGIN", store, "EXECUTE s leaver " + l.hostile.Text(),
		fmt.Sprintf("FETCH leaver%d", l.number), "COMMIT",
	}
	stay := l.hostile.Intn(len(statements) + 1)
	for _, text := range statements[:stay] {
		if a, err := s.Do(l.id(), text, callerTimeout); err != nil || a.Code != "" {
			return
		}
	}
	if stay < len(statements) && l.hostile.Chance(0.5) {
		_, _ = s.Do(l.id(), statements[stay], unread)
	}
}
