//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

const lineEnd = "\r\n"

// wire is one connection of the line protocol.
type wire struct {
	nc net.Conn
	r  *bufio.Reader
}

func newWire(nc net.Conn) *wire { return &wire{nc: nc, r: bufio.NewReaderSize(nc, 64<<10)} }

// read reads one message without the end of its line.
func (w *wire) read() (string, error) {
	var b strings.Builder
	for {
		part, err := w.r.ReadString('\n')
		b.WriteString(part)
		if err != nil {
			return "", err
		}
		if strings.HasSuffix(b.String(), lineEnd) {
			return strings.TrimSuffix(b.String(), lineEnd), nil
		}
	}
}

func (w *wire) write(lines ...string) error {
	_, err := w.nc.Write([]byte(strings.Join(lines, lineEnd) + lineEnd))
	return err
}

// answer is the answer to a statement of a caller.
type answer struct {
	rows      []string
	signature string
	code      string
	cause     string
	state     string
}

// String returns the answer in short.
func (a answer) String() string {
	if a.code != "" {
		return a.code + " (" + a.cause + ") " + a.state
	}
	return "COMPLETE " + a.signature + " " + a.state
}

// success reports whether a backend server has signed the answer.
func (a answer) success() bool { return a.code == "" && a.signature != "" && a.signature != "-" }

func (w *wire) readAnswer() (answer, error) {
	var a answer
	for {
		line, err := w.read()
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "DATAROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.signature = rest
		case "ERROR":
			a.code, a.cause, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a, nil
		default:
			return a, fmt.Errorf("unknown message %.40q", line)
		}
	}
}

// openSession opens a session on a database.
func openSession(address, database string, timeout time.Duration) (*wire, error) {
	nc, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	w := newWire(nc)
	_ = nc.SetDeadline(time.Now().Add(timeout))
	err = w.write("STARTUP " + database + " u1")
	if err == nil {
		var line string
		if line, err = w.read(); err == nil && !strings.HasPrefix(line, "READY I") {
			err = fmt.Errorf("session refused: %s", line)
		}
	}
	if err != nil {
		_ = nc.Close()
		return nil, err
	}
	return w, nil
}

// do sends a statement and returns its answer.
func (w *wire) do(id, text string, timeout time.Duration) (answer, error) {
	_ = w.nc.SetDeadline(time.Now().Add(timeout))
	if err := w.write("QUERY " + id + " " + text); err != nil {
		return answer{}, err
	}
	return w.readAnswer()
}
