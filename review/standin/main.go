//go:build review

package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

func main() {
	program := flag.String("program", "target/gentianward-platform", "program of the instances")
	record := flag.String("record", "record.txt", "file that receives what was sent, answered and run")
	scenario := flag.String("scenario", "", "scenario to play")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	play, ok := scenarios[*scenario]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown scenario", *scenario)
		os.Exit(exitFailed)
	}
	path, err := filepath.Abs(*program)
	check(err)
	folder, err := os.MkdirTemp("", "review")
	check(err)
	out, err := os.Create(*record)
	check(err)
	w := newWorld(path, folder, out)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		w.close()
		_ = os.RemoveAll(folder)
		os.Exit(exitFailed)
	}()
	code := func() int {
		defer w.close()
		if err := w.begin(); err != nil {
			w.logf("not played: %v", err)
			return exitFailed
		}
		play(w, *trouble)
		return w.verdict()
	}()
	_ = os.RemoveAll(folder)
	_ = out.Close()
	os.Exit(code)
}

// scenarios holds the scenario of each script.
var scenarios = map[string]func(w *world, trouble bool){"late-promote": latePromote}

// Times of the scenario late-promote.
const (
	// slowWindow is how long the platform is slow, and slowDelay how long a call that
	// arrives then takes to reach it.
	slowWindow = 2 * time.Second
	slowDelay  = 4 * time.Second
	afterwards = 9 * time.Second
)

// latePromote replaces the backends of each service, the primary first and then the one
// that the platform is asked to promote. With trouble, the platform is slow when the
// first call comes.
func latePromote(w *world, trouble bool) {
	time.Sleep(3 * time.Second)
	if trouble {
		w.slowDelay = slowDelay
	}
	for _, g := range w.groups {
		g.mu.Lock()
		p := g.leads
		g.busy = true
		g.mu.Unlock()
		w.onFirstPromote[g.name] = func(s *server) {
			time.Sleep(200 * time.Millisecond)
			s.release()
		}
		go p.release()
		time.Sleep(afterwards)
		g.mu.Lock()
		g.busy = false
		g.mu.Unlock()
	}
	time.Sleep(2 * time.Second)
}
