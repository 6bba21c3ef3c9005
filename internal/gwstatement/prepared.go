package gwstatement

import (
	"context"
	"crypto/sha256"
	"strings"

	"gentianward.example/gentianward/internal/gwbackend"
)

// preparedNames are the names of prepared statements at a server, of one byte each: a
// caller's name has at least as many, so that no message becomes longer than the caller's.
const preparedNames = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"

// shapeDigest identifies a shape. A caller cannot make two shapes with the same digest, in
// contrast to their names between instances (see gwbackend.PreparedStatement.Equal).
type shapeDigest [sha256.Size]byte

// textDigest identifies a text and is at most of the size of maxKeptText: a connection outlives
// the sessions whose names and values it has set, which have up to 8 MiB each.
type textDigest struct {
	short string
	long  [sha256.Size]byte // of a text of more than maxKeptText
}

// maxKeptText is the greatest length of a text that a textDigest keeps as it is.
const maxKeptText = 64

func digestOf(text string) textDigest {
	if len(text) <= maxKeptText {
		return textDigest{short: text}
	}
	return textDigest{long: sha256.Sum256([]byte(text))}
}

// preparedStatements are the statements that are prepared on one connection.
type preparedStatements struct {
	indices map[shapeDigest]int // into preparedNames
	shapes  [len(preparedNames)]shapeDigest
	// next is the index of the name that is assigned next.
	next int
}

func (p *preparedStatements) name(i int) string { return preparedNames[i : i+1] }

// clear removes all statements.
func (p *preparedStatements) clear() { *p = preparedStatements{} }

// assign gives the next name to a shape. No statement has it.
func (p *preparedStatements) assign(shape shapeDigest) {
	if p.indices == nil {
		p.indices = make(map[shapeDigest]int, 1)
	}
	p.indices[shape], p.shapes[p.next] = p.next, shape
	p.next = (p.next + 1) % len(preparedNames)
}

// nextInUse reports whether a statement has the next name.
func (p *preparedStatements) nextInUse() bool {
	i, ok := p.indices[p.shapes[p.next]]
	return ok && i == p.next
}

// freeNext removes the statement that has the next name.
func (p *preparedStatements) freeNext() { delete(p.indices, p.shapes[p.next]) }

// prepare prepares a shape on the connection unless it is prepared already, and returns its
// name there. The statement that was prepared first may lose its name for that.
func (c *Conn) prepare(ctx context.Context, shape string) (string, answer, error) {
	digest := sha256.Sum256([]byte(shape))
	if i, ok := c.prepared.indices[digest]; ok {
		return c.prepared.name(i), answer{}, nil
	}
	name := c.prepared.name(c.prepared.next)
	text, err := c.codec.PrepareText(name, shape)
	if err != nil {
		return "", answer{}, err
	}
	if c.prepared.nextInUse() {
		if a, err := c.runSessionControl(ctx, c.codec.DeallocateText(name)); err != nil || a.failure != nil {
			return "", a, err
		}
		c.prepared.freeNext()
	}
	if a, err := c.runSessionControl(ctx, text); err != nil || a.failure != nil {
		return "", a, err
	}
	c.prepared.assign(digest)
	return name, answer{}, nil
}

// prepareAll prepares the statements of a request. It returns the text of the request up to
// its arguments and the arguments; if the text executes one of the statements, with the
// statement's name on this connection.
func (c *Conn) prepareAll(ctx context.Context, text string, prepared []gwbackend.PreparedStatement) (start, arguments string, a answer, err error) {
	start = text
	for _, p := range prepared {
		var name string
		if name, a, err = c.prepare(ctx, p.SQL); err != nil || a.failure != nil {
			return "", "", a, err
		}
		if rest, ok := strings.CutPrefix(text, c.codec.ExecuteText(p.Name)); ok {
			start, arguments = c.codec.ExecuteText(name), rest
		}
	}
	return start, arguments, answer{}, nil
}
