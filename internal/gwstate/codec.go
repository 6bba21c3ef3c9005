package gwstate

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// commandKind identifies a command in the log. The numbers must not change.
type commandKind uint8

const (
	kindPublishManifest commandKind = 1
	kindStartGroup      commandKind = 2
	kindBeginChange     commandKind = 3
	kindFinishChange    commandKind = 4
	kindGrantLeases     commandKind = 5
	kindReturnLeases    commandKind = 6
	kindBatch           commandKind = 7
	kindSetCopies       commandKind = 8
	kindNamePromotion   commandKind = 9
	kindSetWait         commandKind = 10
	kindSetProof        commandKind = 11
	kindSetQuotaHolders commandKind = 12
	kindSetAckKeepers   commandKind = 13
)

// envelope is the encoded form of a command.
type envelope struct {
	Kind  commandKind     `cbor:"1,keyasint"`
	Stamp Timestamp       `cbor:"2,keyasint,omitempty"`
	Body  cbor.RawMessage `cbor:"3,keyasint"`
}

// Encode returns cmd as the data of a log entry. The stamp is the proposer's
// time and is kept for reports only. Encode returns an error for a command that
// Decode would refuse, such as one whose text is not UTF-8, so that it is never
// committed.
func Encode(cmd Command, stamp time.Time) ([]byte, error) {
	e, err := encodeCommand(cmd)
	if err != nil {
		return nil, err
	}
	e.Stamp = Timestamp(stamp.UnixMilli())
	b, err := cbor.Marshal(e)
	if err == nil {
		_, _, err = Decode(b)
	}
	return b, wrap("encode command", KindEncode, err)
}

func encodeCommand(cmd Command) (envelope, error) {
	var e envelope
	var body any = cmd
	switch c := cmd.(type) {
	case PublishManifest:
		e.Kind = kindPublishManifest
	case StartGroup:
		e.Kind = kindStartGroup
	case BeginChange:
		e.Kind = kindBeginChange
	case FinishChange:
		e.Kind = kindFinishChange
	case SetCopies:
		e.Kind = kindSetCopies
	case NamePromotion:
		e.Kind = kindNamePromotion
	case SetWait:
		e.Kind = kindSetWait
	case SetProof:
		e.Kind = kindSetProof
	case SetQuotaHolders:
		e.Kind = kindSetQuotaHolders
	case SetAckKeepers:
		e.Kind = kindSetAckKeepers
	case GrantLeases:
		e.Kind = kindGrantLeases
	case ReturnLeases:
		e.Kind = kindReturnLeases
	case Batch:
		e.Kind = kindBatch
		parts, err := encodeBatch(c.Commands)
		if err != nil {
			return e, err
		}
		body = parts
	default:
		return e, wrap("encode command", KindEncode, errors.Newf("unknown command %T", cmd))
	}
	b, err := cbor.Marshal(body)
	e.Body = b
	return e, wrap("encode command", KindEncode, err)
}

func encodeBatch(cmds []Command) ([]envelope, error) {
	parts := make([]envelope, len(cmds))
	for i, c := range cmds {
		if _, nested := c.(Batch); nested {
			return nil, wrap("encode command", KindEncode, errors.New("a batch contains a batch"))
		}
		e, err := encodeCommand(c)
		if err != nil {
			return nil, err
		}
		parts[i] = e
	}
	return parts, nil
}

// Decode returns the command and stamp of a log entry. Unknown fields are ignored;
// an unknown command is an error.
func Decode(data []byte) (Command, time.Time, error) {
	var e envelope
	if err := cbor.Unmarshal(data, &e); err != nil {
		return nil, time.Time{}, wrap("decode command", KindDecode, err)
	}
	c, err := decodeCommand(e, true)
	return c, e.Stamp.Time(), wrap("decode command", KindDecode, err)
}

func decodeCommand(e envelope, allowBatch bool) (Command, error) {
	switch e.Kind {
	case kindPublishManifest:
		return decodeBody[PublishManifest](e)
	case kindStartGroup:
		return decodeBody[StartGroup](e)
	case kindBeginChange:
		return decodeBody[BeginChange](e)
	case kindFinishChange:
		return decodeBody[FinishChange](e)
	case kindSetCopies:
		return decodeBody[SetCopies](e)
	case kindNamePromotion:
		return decodeBody[NamePromotion](e)
	case kindSetWait:
		return decodeBody[SetWait](e)
	case kindSetProof:
		return decodeBody[SetProof](e)
	case kindSetQuotaHolders:
		return decodeBody[SetQuotaHolders](e)
	case kindSetAckKeepers:
		return decodeBody[SetAckKeepers](e)
	case kindGrantLeases:
		return decodeBody[GrantLeases](e)
	case kindReturnLeases:
		return decodeBody[ReturnLeases](e)
	case kindBatch:
		if allowBatch {
			return decodeBatch(e)
		}
	}
	return nil, errors.Newf("unknown command kind %d", e.Kind)
}

func decodeBody[C Command](e envelope) (Command, error) {
	var c C
	err := cbor.Unmarshal(e.Body, &c)
	return c, err
}

func decodeBatch(e envelope) (Command, error) {
	var parts []envelope
	if err := cbor.Unmarshal(e.Body, &parts); err != nil {
		return nil, err
	}
	b := Batch{Commands: make([]Command, len(parts))}
	for i, p := range parts {
		c, err := decodeCommand(p, false)
		if err != nil {
			return nil, err
		}
		b.Commands[i] = c
	}
	return b, nil
}
