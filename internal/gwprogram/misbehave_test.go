package gwprogram

import (
	"crypto/tls"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// The tests of this file run one after the other, as each measures the memory of processes that
// it starts. The sizes of the crowds and the bounds are fixed.

// largestStatement returns a write of the greatest length.
func largestStatement() string {
	const start = "QUERY i STORE k "
	return start + strings.Repeat("x", maxText-len(start)) + "\r\n"
}

// Guards against messages of legal size that fill the memory because many callers send them at
// once, at the entry instances and at the owner of the server.
func TestCrowdOfLargestMessages(t *testing.T) {
	d := startCrowdDeployment(t)
	message := largestStatement()
	d.playCallers(80, 4, func(c *crowdClient) {
		for range 4 {
			if !c.write(message) {
				return
			}
			c.readAnswers(1)
		}
	})
	d.check()
}

// Guards against parts of messages that are kept for callers that send in small pieces and stop
// halfway.
func TestCrowdThatStopsInsideMessages(t *testing.T) {
	d := startCrowdDeployment(t)
	const piece = 4 << 10
	message := largestStatement()[:1000<<10]
	d.playCallers(120, 4, func(c *crowdClient) {
		for sent := 0; sent < len(message); sent += piece {
			if !c.write(message[sent:min(sent+piece, len(message))]) {
				return
			}
		}
	})
	d.check()
}

// Guards against messages over the limit that are kept while they are skipped.
func TestCrowdOfMessagesOverTheLimit(t *testing.T) {
	d := startCrowdDeployment(t)
	part := strings.Repeat("x", 1<<20)
	d.playCallers(60, 4, func(c *crowdClient) {
		if !c.write("QUERY i STORE k ") {
			return
		}
		for range 16 {
			if !c.write(part) {
				return
			}
		}
		if c.number%2 == 0 && c.write("\r\n") {
			c.readAnswers(1)
		}
	})
	d.check()
}

// Guards against answers that fill the memory because callers send many statements and do not
// read.
func TestCrowdThatPipelinesAndDoesNotRead(t *testing.T) {
	d := startCrowdDeployment(t)
	row := strings.Repeat("r", maxText-len("DATAROW "))
	d.server.setRow(row + strings.Repeat("\r\nDATAROW "+row, 2))
	d.playCallers(120, 4, func(c *crowdClient) {
		_ = c.write(strings.Repeat("QUERY f FETCH 1\r\n", 64))
		time.Sleep(crowdPlayTime / 2)
	})
	d.check()
}

// Guards against answers of several large rows that are kept for callers that read slowly or
// stop.
func TestCrowdThatReadsSlowly(t *testing.T) {
	d := startCrowdDeployment(t)
	row := strings.Repeat("r", maxText-len("DATAROW "))
	d.server.setRow(row + strings.Repeat("\r\nDATAROW "+row, 6))
	d.playCallers(40, 4, func(c *crowdClient) {
		if !c.write("QUERY f FETCH 1\r\n") {
			return
		}
		b := make([]byte, 512)
		for c.number%2 == 0 {
			if _, err := c.nc.Read(b); err != nil {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(crowdPlayTime / 2)
	})
	d.check()
}

// Guards against values and prepared statements that fill the memory because sessions set them
// again and again, and against copies of them that travel with each statement.
func TestCrowdThatSetsSessionState(t *testing.T) {
	d := startCrowdDeployment(t)
	value := strings.Repeat("x", 1000<<10)
	d.playCallers(30, 4, func(c *crowdClient) {
		for n := range 40 {
			text := fmt.Sprintf("QUERY i SET n%d %s\r\n", n%12, value)
			if n%4 == 3 {
				text = fmt.Sprintf("QUERY i PREPARE s%d STORE %s\r\n", n%3, value)
			}
			if !c.write(text) {
				return
			}
			c.readAnswers(1)
			if n%8 == 7 && c.write("QUERY i STORE k v\r\n") {
				c.readAnswers(1)
			}
		}
	})
	d.check()
}

// Guards against sessions that take all descriptors because they are opened in large numbers and
// left, by closing them and by keeping them open.
func TestCrowdOfSessions(t *testing.T) {
	d := startCrowdDeployment(t)
	d.playCallers(600, 2, func(c *crowdClient) {
		_ = c.write("QUERY i SET n v\r\nQUERY i BEGIN\r\n")
		c.readAnswers(2)
		if c.number%4 == 0 {
			_ = c.nc.Close()
		}
	})
	d.playCallers(600, 2, func(*crowdClient) {})
	d.check()
}

// Guards against connections to the HTTP addresses that take all descriptors because their
// requests stop halfway, and against headers that fill the memory.
func TestCrowdAtTheHTTPAddresses(t *testing.T) {
	d := startCrowdDeployment(t)
	header := "GET /readyz HTTP/1.1\r\nHost: x\r\nX-Long: " + strings.Repeat("x", 900<<10)
	addresses := []string{d.control.settings.ControlAddress, net.JoinHostPort(d.control.settings.IP.String(), strconv.Itoa(metricsPort))}
	for _, e := range d.entries {
		addresses = append(addresses, e.settings.ReadyAddress, net.JoinHostPort(e.settings.IP.String(), strconv.Itoa(metricsPort)))
	}
	var wg sync.WaitGroup
	for _, address := range addresses {
		d.play(&wg, address, 500, 4, func(c *crowdClient) {
			switch c.number % 4 {
			case 0:
				_ = c.write("GET /re")
			case 1:
				_ = c.write(header)
			case 2:
				_ = c.write("POST /Config.Replace HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n{")
			default: // keeps the connection after an answer
				if c.write("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n") {
					_, _ = c.r.ReadByte()
				}
			}
		})
	}
	wg.Wait()
	d.check()
}

// Guards against configurations of legal size that fill the memory of a control instance because
// many are sent at once, whole and stopping halfway.
func TestCrowdOfConfigurations(t *testing.T) {
	d := startCrowdDeployment(t)
	const size = 8 << 20
	head := fmt.Sprintf("POST /Config.Replace HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", size-(2<<10))
	body := strings.Repeat("x", size-(2<<10))
	var wg sync.WaitGroup
	d.play(&wg, d.control.settings.ControlAddress, 60, 4, func(c *crowdClient) {
		if c.number%2 == 0 {
			_ = c.write(head + body[:len(body)*3/4])
			return
		}
		if c.write(head + body) {
			_, _ = c.r.ReadByte()
		}
	})
	wg.Wait()
	d.check()
}

// Guards against connections to the port of other instances that take all descriptors because
// their TLS handshakes stop halfway or use an unknown certificate.
func TestCrowdAtThePeerPort(t *testing.T) {
	d := startCrowdDeployment(t)
	var wg sync.WaitGroup
	for _, p := range d.processes {
		d.play(&wg, p.settings.PeerAddress(p.settings.IP.String()), 1500, 4, func(c *crowdClient) {
			switch c.number % 4 {
			case 0:
			case 1:
				_ = c.write("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03") // the start of a ClientHello
			case 2:
				_ = c.write(strings.Repeat("x", 64<<10))
			default:
				_ = tls.Client(c.nc, &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13}).Handshake()
			}
		})
	}
	wg.Wait()
	d.check()
}
