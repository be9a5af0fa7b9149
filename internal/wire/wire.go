// Package wire implements the simulator's line protocol: batches of lines with tab-separated
// name=value fields. It makes no decisions.
//
//	wire.go    messages and errors
//	fields.go  the fields of a line
//	reader.go  batches of events
//	lists.go   numbered lists of replicas
//	writer.go  replies
package wire

import (
	"fmt"
	"time"

	"standpulley/logic"
)

// Error describes malformed input: the number of the line, and the invalid field.
type Error struct {
	Line  int
	Field string
	Text  string
}

func (e *Error) Error() string { return fmt.Sprintf("line %d: field %s: %s", e.Line, e.Field, e.Text) }

// Kind is what a message means to the process that hosts the instances.
type Kind uint8

// The kinds of message.
const (
	Begin  Kind = iota // start of a batch; sets Clock and Batch
	End                // end of a batch: the reply is due
	Attach             // a new instance; sets Settings and Seed
	Crash              // the instance has crashed
	Event              // an event for the instance, in Event
	Ignore             // irrelevant to the decision module
)

// Message is the content of one line, or of a list with its entries.
type Message struct {
	Kind     Kind
	Instance int
	Clock    time.Duration
	Batch    string
	Seed     uint64
	Settings logic.Settings
	Event    logic.Event
}
