package proving

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// Operation is one use of the record of versions as a register: show reads the number in force, propose moves it on from
// the base to a new number, or fails. Unknown is that nobody learned whether it did.
type Operation struct {
	Kind         string
	Dispatcher   string
	Call, Return time.Duration
	Base, Number uint64
	Unknown      bool
}

// Linear tells whether a history is one that a single register could have had. A proposal whose fate is not known may
// have taken effect at any time after its call, or never.
func IsLinearizable(history []Operation) bool {
	model := porcupine.Model{
		Init: func() any { return uint64(1) },
		Step: func(state, input, output any) (bool, any) {
			now, op := state.(uint64), input.(Operation)
			switch {
			case op.Kind == "show":
				return now == op.Number, now
			case op.Unknown:
				return true, now // where it took effect its number is not known: those are left out below
			}
			return now == op.Base, op.Number
		},
		DescribeOperation: func(input, _ any) string { return fmt.Sprintf("%+v", input) },
	}
	var ops []porcupine.Operation
	for i, op := range history {
		if op.Unknown {
			continue
		}
		ops = append(ops, porcupine.Operation{ClientId: i, Input: op, Call: int64(op.Call), Return: int64(op.Return)})
	}
	// Versions that came of proposals with an unknown fate show in what was read: the first read of such a number is taken
	// as its proposal, which may have taken effect at any time up to then.
	known := map[uint64]bool{1: true}
	for _, op := range history {
		if op.Kind == "propose" && !op.Unknown {
			known[op.Number] = true
		}
	}
	for _, op := range history {
		if op.Kind != "show" || known[op.Number] {
			continue
		}
		known[op.Number] = true
		base, call := uint64(0), time.Duration(math.MaxInt64)
		for _, u := range history {
			if u.Unknown && u.Base < op.Number && u.Base >= base && u.Call < op.Return {
				base, call = u.Base, u.Call
			}
		}
		if base == 0 {
			return false // a version that nobody proposed
		}
		ops = append(ops, porcupine.Operation{ClientId: len(history) + len(ops), Call: int64(call), Return: int64(op.Return),
			Input: Operation{Kind: "propose", Base: base, Number: op.Number}})
	}
	return porcupine.CheckOperations(model, ops)
}
