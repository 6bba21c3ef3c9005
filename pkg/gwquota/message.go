package gwquota

import (
	"encoding/binary"
	"errors"
)

// Report tells the leader what an agent holds, wants and is asked for.
type Report struct {
	// Epoch names the run of the agent; later runs have greater ones.
	Epoch uint64 `cbor:"1,keyasint"`
	// Sequence numbers the reports of a run, from 1.
	Sequence uint64 `cbor:"2,keyasint"`
	// Base is the sequence of the report that the leader answered last, if the agent has
	// applied that answer and holds what it says; 0 in a complete report.
	Base uint64 `cbor:"3,keyasint,omitempty"`
	// Lines holds the changes since Base, or everything, as packed Lines.
	Lines []byte `cbor:"4,keyasint,omitempty"`
	// RunningMillis is for how long the run has held no shares since its start, in milliseconds;
	// 0 once a leader has answered.
	RunningMillis uint32 `cbor:"5,keyasint,omitempty"`
}

// Answer tells an agent which shares it may hold until Validity after it sent the report.
type Answer struct {
	Sequence uint64 `cbor:"1,keyasint"`
	// Incomplete asks for a complete report, as the leader does not know Base.
	Incomplete bool `cbor:"2,keyasint,omitempty"`
	// Shares holds the shares that change, as packed Shares.
	Shares []byte `cbor:"3,keyasint,omitempty"`
	// Next is the time in milliseconds until shares that an earlier leader assigned become free;
	// 0 if there are none.
	Next uint32 `cbor:"4,keyasint,omitempty"`
}

// Line is what a report says about one customer.
type Line struct {
	// ID is the number of the customer in the reports since the last complete one. The first
	// line of an ID has the Name and the share that is Held.
	ID     uint64
	Name   string
	Held   Parts
	Wanted bool
	Demand Demand
	// Returned are unused operations of shares that were reduced. A complete report has none, so
	// that no two leaders count them.
	Returned uint64
}

// Share is a share that a customer's agent may hold from now on.
type Share struct {
	ID    uint64
	Parts Parts
	// Tokens are the operations that come with an increase.
	Tokens uint64
}

var errMalformed = errors.New("gwquota: malformed message")

// Bounds of a message.
const (
	maxNameBytes = 1 << 12
	maxLines     = 1 << 16
	maxTokens    = 1 << 50
)

// Flags of a line beside its demand.
const (
	lineWanted   = 1
	lineReturned = 2
)

func appendLine(b []byte, l Line) []byte {
	if l.Name == "" {
		b = binary.AppendUvarint(b, l.ID<<1)
	} else {
		b = binary.AppendUvarint(b, l.ID<<1|1)
		b = binary.AppendUvarint(b, uint64(len(l.Name)))
		b = append(b, l.Name...)
		b = binary.AppendUvarint(b, uint64(l.Held))
	}
	demand := uint64(l.Demand) << 2
	if l.Wanted {
		demand |= lineWanted
	}
	if l.Returned == 0 {
		return binary.AppendUvarint(b, demand)
	}
	b = binary.AppendUvarint(b, demand|lineReturned)
	return binary.AppendUvarint(b, l.Returned)
}

func appendShare(b []byte, s Share) []byte {
	b = binary.AppendUvarint(b, s.ID)
	b = binary.AppendUvarint(b, uint64(s.Parts))
	return binary.AppendUvarint(b, s.Tokens)
}

// reader reads packed numbers; after an error it returns zeros.
type reader struct {
	b   []byte
	err error
}

func (r *reader) number(most uint64) uint64 {
	x, n := binary.Uvarint(r.b)
	if n <= 0 || x > most {
		r.err, r.b = errMalformed, nil
		return 0
	}
	r.b = r.b[n:]
	return x
}

func (r *reader) text() string {
	n := r.number(maxNameBytes)
	if n > uint64(len(r.b)) || n == 0 {
		r.err, r.b = errMalformed, nil
		return ""
	}
	s := string(r.b[:n])
	r.b = r.b[n:]
	return s
}

func readLines(b []byte) ([]Line, error) {
	r := reader{b: b}
	var out []Line
	for len(r.b) > 0 {
		id := r.number(maxLines<<1 | 1)
		l := Line{ID: id >> 1}
		if id&1 == 1 {
			l.Name = r.text()
			l.Held = Parts(r.number(uint64(Whole)))
		}
		demand := r.number(maxDemand<<2 | lineWanted | lineReturned)
		l.Demand, l.Wanted = Demand(demand>>2), demand&lineWanted != 0
		if demand&lineReturned != 0 {
			l.Returned = r.number(maxTokens)
		}
		out = append(out, l)
	}
	return out, r.err
}

func readShares(b []byte) ([]Share, error) {
	r := reader{b: b}
	var out []Share
	for len(r.b) > 0 {
		s := Share{ID: r.number(maxLines), Parts: Parts(r.number(uint64(Whole)))}
		s.Tokens = r.number(maxTokens)
		out = append(out, s)
	}
	return out, r.err
}
