package gwprogram

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/pkg/gwlimit"
)

// maxLogLine is the greatest length of a log line about one statement.
const maxLogLine = 4 << 10

// Guards against messages that are cut, joined or run twice where a caller sends several at
// once, ends its connection inside one or does not read its answers; and against long or odd ids
// and database names that change, end a session or fill the log.
func TestMessagesAtTheEndsOfConnections(t *testing.T) {
	s := startExactServer(t)
	var lines lockedBuffer
	for i, address := range twoEntries(t, s, &lines) {
		t.Run(fmt.Sprintf("entry %d/several at once", i), func(t *testing.T) { checkPipelined(t, s, address) })
		t.Run(fmt.Sprintf("entry %d/cut", i), func(t *testing.T) { checkCut(t, s, address) })
		t.Run(fmt.Sprintf("entry %d/unread answers", i), func(t *testing.T) { checkUnread(t, s, address) })
		t.Run(fmt.Sprintf("entry %d/ids", i), func(t *testing.T) { checkIDs(t, s, address) })
		t.Run(fmt.Sprintf("entry %d/databases", i), func(t *testing.T) { checkDatabases(t, address) })
	}
	for line := range strings.Lines(lines.String()) {
		assert.LessOrEqual(t, len(line), maxLogLine, "%.100s", line)
	}
}

// checkPipelined sends statements and the end of the session in one write.
func checkPipelined(t *testing.T, s *exactServer, address string) {
	c, err := openExact(address)
	require.NoError(t, err)
	defer c.nc.Close()
	_, err = io.WriteString(c.nc, strings.Join([]string{
		"QUERY a SET n \r", "QUERY b STORE k v\nQUERY z FETCH 1", "QUERY c PREPARE s STORE q", "nonsense\n", "QUERY d EXECUTE s k \r", "TERMINATE", "",
	}, "\r\n"))
	require.NoError(t, err)
	var got []string
	for {
		line, err := readFrame(c.r)
		if err != nil {
			assert.ErrorIs(t, err, io.EOF)
			break
		}
		got = append(got, line)
	}
	want := strings.Join([]string{answeredHere, answeredByServer, answeredHere, "MALFORMED", answeredByServer}, "|")
	require.Len(t, got, len(strings.Split(want, "|"))+1)
	assert.True(t, strings.HasPrefix(got[6], "ERROR MALFORMED "), got[6])
	got[6], got[7] = "MALFORMED", "READY I -"
	assert.Equal(t, strings.Replace(want, "MALFORMED", "MALFORMED|READY I -", 1), strings.Join(got, "|"))
	queries, values := s.take()
	assert.Equal(t, []string{"b STORE k v\nQUERY z FETCH 1", "d EXECUTE STORE q k \r"}, queries)
	assert.Equal(t, map[string]string{"n": "\r"}, values)
}

// checkCut ends connections inside a message.
func checkCut(t *testing.T, s *exactServer, address string) {
	for _, text := range []string{"QUERY e STORE k lo", "QUERY e STORE k lo\r", "QUERY e STORE k lo\n", "QUERY e STORE k " + strings.Repeat("x\n", 300<<10), "QUERY e STORE k " + strings.Repeat("x", 2<<20)} {
		c, err := openExact(address)
		require.NoError(t, err)
		_, err = io.WriteString(c.nc, text)
		require.NoError(t, err)
		require.NoError(t, c.nc.(*net.TCPConn).CloseWrite())
		rest, err := io.ReadAll(c.r)
		require.NoError(t, err)
		assert.Empty(t, rest, brief(text))
		_ = c.nc.Close()
	}
	queries, _ := s.take()
	assert.Empty(t, queries)
}

// checkUnread leaves without having read rows of the greatest length.
func checkUnread(t *testing.T, s *exactServer, address string) {
	s.setRow(strings.Repeat("r", maxText-len("DATAROW ")))
	defer s.setRow("v")
	other, err := openExact(address)
	require.NoError(t, err)
	defer other.nc.Close()
	var unread []net.Conn
	for range 4 {
		c, err := openExact(address)
		require.NoError(t, err)
		defer c.nc.Close()
		unread = append(unread, c.nc)
		_, err = io.WriteString(c.nc, strings.Repeat("QUERY f FETCH 1\r\n", 16))
		require.NoError(t, err)
	}
	started := time.Now()
	assert.Equal(t, answeredByServer, other.ask("g", "STORE k v"))
	assert.Less(t, time.Since(started), 3*time.Second, "another session is served")
	for _, nc := range unread {
		_ = nc.Close()
	}
	require.Eventually(t, func() bool {
		queries, _ := s.take()
		return len(queries) == 0
	}, 10*time.Second, 300*time.Millisecond, "sessions that have ended run nothing")
}

// checkIDs sends statements with ids of any bytes and lengths, and one that cannot be answered.
func checkIDs(t *testing.T, s *exactServer, address string) {
	c, err := openExact(address)
	require.NoError(t, err)
	defer c.nc.Close()
	long := strings.Repeat("\n", maxText-len("QUERY  STORE k v"))
	for _, id := range []string{"a-b", "-a", "--", "\xff\x00", "\r", "a\n", "\ra", "QUERY", long} {
		assert.Equal(t, answeredByServer, c.ask(id, "STORE k v"), brief(id))
		queries, _ := s.take()
		assert.Equal(t, briefAll(id+" STORE k v"), briefAll(queries...))
	}
	assert.Regexp(t, `^ERROR MALFORMED .*\|READY I -$`, c.ask("-", "STORE k v"), "the id of the system")
	s.setRow("v\r\nWHAT IS THIS")
	assert.Regexp(t, `^ERROR ABORTED .*\|READY I -$`, c.ask(long[1:], "FETCH 1"))
	s.setRow("v")
	s.take()
}

// checkDatabases opens sessions on databases that do not exist.
func checkDatabases(t *testing.T, address string) {
	for _, name := range []string{"\xff\r\n"[:2], "a\nb", strings.Repeat("d", maxText-len("STARTUP "))} {
		nc, err := net.Dial("tcp", address)
		require.NoError(t, err)
		_, err = io.WriteString(nc, "STARTUP "+name+"\r\n")
		require.NoError(t, err)
		_ = nc.SetReadDeadline(time.Now().Add(10 * time.Second))
		r := bufio.NewReader(nc)
		line, err := readFrame(r)
		require.NoError(t, err)
		assert.True(t, strings.HasPrefix(line, "ERROR NODB "), brief(line))
		assert.LessOrEqual(t, len(line), maxLogLine)
		rest, err := io.ReadAll(r)
		require.NoError(t, err)
		assert.Empty(t, rest)
		_ = nc.Close()
	}
}

// Guards against a long row that counts as lost, and as a failure of its server, because the
// server answers many short statements while the row is on its way.
func TestLongRowIsNotLostBesideShortAnswers(t *testing.T) {
	s := startExactServer(t)
	var lines lockedBuffer
	for i, address := range twoEntries(t, s, &lines) {
		reader, err := openExact(address)
		require.NoError(t, err)
		defer reader.nc.Close()
		writer, err := openExact(address)
		require.NoError(t, err)
		defer writer.nc.Close()
		row := strings.Repeat("r", maxText-len("DATAROW "))
		s.mu.Lock()
		s.row, s.pause = row, 50*time.Millisecond
		s.mu.Unlock()
		answer := make(chan string, 1)
		go func() { answer <- reader.ask("i", "FETCH 1") }()
		beside := 0
		for got := ""; got == ""; {
			assert.Equal(t, answeredByServer, writer.ask("j", "STORE k v"))
			select {
			case got = <-answer:
				assert.Equal(t, brief("DATAROW "+row+"|"+answeredByServer), brief(got), "entry %d", i)
			default:
				beside++
			}
		}
		assert.Greater(t, beside, 2*gwlimit.LossThreshold)
		s.setRow("v")
	}
	assert.NotContains(t, lines.String(), "answerLost")
}
