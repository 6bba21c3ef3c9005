package gwtrace

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// slotOp is one operation on the register of a slot: a read of the holder, or
// the replacement of a holder by another.
type slotOp struct {
	group, slot string
	write       bool
	// value is the holder read, or the new holder of a replacement.
	value string
	// old is the holder that a replacement requires; swapped tells whether it
	// was found, unknown that this is not known.
	old              string
	swapped, unknown bool
	call, end        time.Duration
	client           int
}

// noReturn is the end of an operation whose outcome is unknown.
const noReturn = time.Duration(math.MaxInt64)

// slotModel is a register with compare and swap.
var slotModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, _ any) (bool, any) {
		holder, op := state.(string), input.(slotOp)
		switch {
		case !op.write:
			return holder == op.value, holder
		case op.unknown:
			if holder == op.old {
				return true, op.value
			}
			return true, holder
		case op.swapped:
			return holder == op.old, op.value
		default:
			return holder != op.old, holder
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

// slotCheckLimit bounds the search for an order of one slot's operations.
const slotCheckLimit = 10 * time.Second

// checkSlots reports every slot whose operations have no order that a register allows.
func checkSlots(ops []slotOp) []Difference {
	perSlot := make(map[[2]string][]porcupine.Operation)
	for _, o := range ops {
		key := [2]string{o.group, o.slot}
		end := o.end
		if o.unknown {
			end = noReturn
		}
		perSlot[key] = append(perSlot[key], porcupine.Operation{ClientId: o.client, Input: o, Call: int64(o.call), Return: int64(end)})
	}
	var out []Difference
	for key, list := range perSlot {
		d := Difference{Kind: NotLinearizable, Group: key[0], ID: key[1]}
		switch porcupine.CheckOperationsTimeout(slotModel, list, slotCheckLimit) {
		case porcupine.Illegal:
			d.Detail = "no order of its operations is that of a register"
			out = append(out, d)
		case porcupine.Unknown:
			d.Kind, d.Detail = NotDecided, "the search for an order took too long"
			out = append(out, d)
		}
	}
	return out
}
