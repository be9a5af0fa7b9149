package logic_test

import (
	"fmt"
	"time"

	"standpulley/logic"
)

// A host feeds events with the current time and carries out the actions. This example steps through
// one request: the list of servers, then the request, the end of its read, and the start and the
// end of its answer.
func Example() {
	router, err := logic.New(logic.Settings{
		Siblings: 1, MaxAttempts: 3, CanCancel: true, ReleaseWithin: 500 * time.Millisecond,
		Kinds:   []logic.Kind{{Name: "prefill", Role: logic.Reader}, {Name: "decode", Role: logic.Writer}},
		Classes: []logic.Class{{Name: "chat", Aim: time.Second, Deadline: 5 * time.Second}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	var actions []logic.Action
	handle := func(clock time.Duration, ev logic.Event) {
		actions = router.Handle(clock, &ev, actions[:0])
		for _, a := range actions {
			switch a.Kind {
			case logic.Send: // start the attempt; when it ends, or at a.Until, feed an Ended event
				fmt.Println(clock, "send", a.RequestID, "to", a.Server)
			case logic.Wake: // start a timer of a.After; when it fires, feed TimerFired with a.Tag
			case logic.Refuse, logic.Fail: // answer the client
				fmt.Println(clock, a.Kind, a.RequestID)
			case logic.Release, logic.Cancel: // notify the servers
				fmt.Println(clock, a.Kind, a.RequestID)
			}
		}
	}
	handle(0, logic.Event{Kind: logic.ListComplete, Servers: []logic.ServerEntry{
		{ID: "10.0.0.1:80", Kind: "prefill", Cell: 1}, {ID: "10.0.0.2:80", Kind: "decode", Cell: 1}}})
	handle(time.Second, logic.Event{Kind: logic.Arrived, RequestID: "r1", Request: logic.Request{
		Class: "chat", Session: 7, PromptTokens: 900, MaxOutput: 100, Remaining: 4 * time.Second}})
	handle(1100*time.Millisecond, logic.Event{Kind: logic.Ended, RequestID: "r1", Server: "10.0.0.1:80",
		Outcome: logic.ReadDone, Took: 100 * time.Millisecond})
	handle(1150*time.Millisecond, logic.Event{Kind: logic.StreamStarted, RequestID: "r1", Server: "10.0.0.2:80",
		Attempt: 1, Took: 50 * time.Millisecond})
	handle(3*time.Second, logic.Event{Kind: logic.Ended, RequestID: "r1", Server: "10.0.0.2:80", Attempt: 1,
		Outcome: logic.Delivered, RequestEnded: true, Took: 1900 * time.Millisecond})
	// Shutdown: drop the Router. It holds no goroutine, file or connection, and the host can ignore
	// timers that fire later.

	// Output:
	// 1s send r1 to 10.0.0.1:80
	// 1.1s send r1 to 10.0.0.2:80
}
