package proving

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// Operation is one access to the settings record, seen as a register with one value. "show" reads
// the version number in force; "propose" changes it from the base to a new number, or fails.
// Unknown means that the client did not learn whether the proposal took effect.
type Operation struct {
	Kind         string
	Dispatcher   string
	Call, Return time.Duration
	Base, Number uint64
	Unknown      bool
}

// IsLinearizable reports whether a single register could have had this history. A proposal with an
// unknown outcome may have taken effect at any time after its call, or never.
func IsLinearizable(history []Operation) bool {
	model := porcupine.Model{
		Init: func() any { return uint64(1) },
		Step: func(state, input, output any) (bool, any) {
			now, op := state.(uint64), input.(Operation)
			switch {
			case op.Kind == "show":
				return now == op.Number, now
			case op.Unknown:
				// not reached: proposals with an unknown outcome have no number and are left out
				// below
				return true, now
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
	// The versions of proposals with an unknown outcome show up in later reads. The first read of
	// such a number is taken as evidence of a proposal that took effect at some time before the end
	// of that read.
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
			return false // no proposal can have made this version
		}
		ops = append(ops, porcupine.Operation{ClientId: len(history) + len(ops), Call: int64(call), Return: int64(op.Return),
			Input: Operation{Kind: "propose", Base: base, Number: op.Number}})
	}
	return porcupine.CheckOperations(model, ops)
}
