package gwsoak

import (
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"gentianward.example/gentianward/platform"
	"gentianward.example/gentianward/platform/platformtest"
)

// process is one instance as a process of its own.
type process struct {
	program, folder string
	settings        platform.Settings
	peerListen      string
	controlPort     int
	// seeds returns the control instances that the settings name at a start.
	seeds func() []netip.Addr
	// endedByItself is called when the process ended without an order of the soak.
	endedByItself func(name, cause string)

	// joined grows with each control instance that joins a deployment; Run.mu guards it.
	joined int

	mu          sync.Mutex
	cmd         *exec.Cmd
	done        chan struct{}
	ordered     bool // the soak has ended the process
	stopped     bool
	incarnation int
	started     time.Time
	starts      []time.Time // each a moment before a process of it was started
	gone        bool        // for good
	diskFaults  string      // text of the file of faults
}

func (p *process) logPath() string { return filepath.Join(p.folder, p.settings.Name+".log") }

func (p *process) diskPath() string { return filepath.Join(p.folder, p.settings.Name+".disk") }

// start starts the process. Its log is appended to the file of its name.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() || p.gone {
		return nil
	}
	p.settings.Seeds = p.seeds()
	file := filepath.Join(p.folder, p.settings.Name+".toml")
	if err := os.WriteFile(file, []byte(platformtest.SettingsText(p.settings, p.controlPort)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.program, "instance", "-peer-listen", p.peerListen, "-disk", p.diskPath())
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.folder, platformtest.Environment(file)}
	cmd.Stdout, cmd.Stderr = log, log
	// A process may log before Start returns on a busy machine.
	p.starts = append(p.starts, time.Now())
	if err := cmd.Start(); err != nil {
		return err
	}
	p.settings.FirstStart = false
	p.cmd, p.done, p.ordered, p.stopped = cmd, make(chan struct{}), false, false
	p.incarnation++
	p.started = time.Now()
	go p.wait(cmd, p.done)
	return nil
}

func (p *process) wait(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	ordered := p.ordered
	close(done)
	p.mu.Unlock()
	if !ordered {
		cause := "exit code 0"
		if err != nil {
			cause = err.Error()
		}
		p.endedByItself(p.settings.Name, cause)
	}
}

// running reports whether the process runs; p.mu is held.
func (p *process) running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// active reports whether the process runs and is not stopped.
func (p *process) active() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running() && !p.stopped
}

// incarnationNumber returns how often the process was started.
func (p *process) incarnationNumber() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation
}

// startTime returns when the process was last started.
func (p *process) startTime() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.started
}

// startTimes returns a moment before the start of each process of the instance.
func (p *process) startTimes() []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.starts)
}

// isGone reports whether the process was ended for good.
func (p *process) isGone() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gone
}

// pause stops the process with SIGSTOP.
func (p *process) pause() { p.signal(syscall.SIGSTOP) }

// resume continues the process.
func (p *process) resume() { p.signal(syscall.SIGCONT) }

// kill ends the process and waits for its end.
func (p *process) kill() { p.end(syscall.SIGKILL) }

// retire kills the process for good.
func (p *process) retire() {
	p.mu.Lock()
	p.gone = true
	p.mu.Unlock()
	p.kill()
}

// terminateForGood asks the process to stop gracefully for good, and waits for its end for a time.
func (p *process) terminateForGood(grace time.Duration) {
	p.mu.Lock()
	p.gone = true
	done := p.done
	p.mu.Unlock()
	p.terminate()
	select {
	case <-done:
	case <-time.After(grace):
	}
}

// wipe kills the process and empties its data folder.
func (p *process) wipe() error {
	for {
		p.kill()
		p.mu.Lock()
		if !p.running() {
			defer p.mu.Unlock()
			if err := os.RemoveAll(p.settings.DataFolder); err != nil {
				return err
			}
			return os.Mkdir(p.settings.DataFolder, 0o700)
		}
		p.mu.Unlock() // another fault has started it
	}
}

// setDisk sets the faults of the disk: the additional time of a sync, diskStalled or nothing.
func (p *process) setDisk(faults string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	temporary := p.diskPath() + ".new"
	if err := os.WriteFile(temporary, []byte(faults), 0o600); err != nil {
		return err
	}
	p.diskFaults = faults
	return os.Rename(temporary, p.diskPath())
}

// whole reports whether the process runs, is not stopped and has a disk with prompt syncs.
func (p *process) whole() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	additional, _ := time.ParseDuration(p.diskFaults)
	return p.running() && !p.stopped && p.diskFaults != diskStalled && additional <= promptSync
}

// terminate asks the process to stop gracefully. Its end is not waited for.
func (p *process) terminate() { p.signal(syscall.SIGTERM) }

func (p *process) end(sig syscall.Signal) {
	p.signal(sig)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done != nil {
		<-done
	}
}

func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return
	}
	switch sig {
	case syscall.SIGKILL, syscall.SIGTERM:
		p.ordered = true
	case syscall.SIGSTOP:
		p.stopped = true
	case syscall.SIGCONT:
		p.stopped = false
	}
	_ = p.cmd.Process.Signal(sig)
}
