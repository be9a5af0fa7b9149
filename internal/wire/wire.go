// Package wire translates the simulator's dialect: lines of tab-separated name=value fields in batches.
// It decides nothing.
//
//	wire.go    what is read, and what is wrong with it
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

// Error is malformed input: the line's number and the field at fault.
type Error struct {
	Line  int
	Field string
	Text  string
}

func (e *Error) Error() string { return fmt.Sprintf("line %d: field %s: %s", e.Line, e.Field, e.Text) }

// Kind names what a message means to the host of the instances.
type Kind uint8

// The kinds of message.
const (
	Begin  Kind = iota // a batch: Clock, Batch
	End                // of a batch: the reply is due
	Attach             // a new instance: Settings, Seed
	Crash              // the instance is gone
	Event              // Event is for the instance
	Ignore             // nothing for a decision module
)

// Message is what one line, or a list with its entries, says.
type Message struct {
	Kind     Kind
	Instance int
	Clock    time.Duration
	Batch    string
	Seed     uint64
	Settings logic.Settings
	Event    logic.Event
}
