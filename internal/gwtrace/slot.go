package gwtrace

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// slotOp is one operation on a slot, seen as a register: a read of the holder, or a
// compare-and-swap of the holder.
type slotOp struct {
	group, slot string
	write       bool
	// value is the holder that was read, or the new holder of a swap.
	value string
	// old is the holder that a swap expects. swapped means that it was found and
	// replaced, unknown that the outcome of the commit is unknown.
	old              string
	swapped, unknown bool
	call, end        time.Duration
	client           int
}

// noReturn is the end time of an operation whose outcome is unknown, which may take
// effect at any later time.
const noReturn = time.Duration(math.MaxInt64)

// slotModel models a slot as a compare-and-swap register, initially empty.
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

// slotCheckLimit bounds the linearizability check of one slot.
const slotCheckLimit = 10 * time.Second

// checkSlots returns a difference for every slot whose operations are not
// linearizable, or for which the check did not complete in time.
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
			d.Detail = "its operations are not linearizable"
			out = append(out, d)
		case porcupine.Unknown:
			d.Kind, d.Detail = NotDecided, "the linearizability check timed out"
			out = append(out, d)
		}
	}
	return out
}
