package dispatch

import (
	"slices"
	"time"

	"standpulley/logic"
)

// Began is called by the transport when the first event of an answer is there.
func (at *attempt) Began(s Stream) { at.d.post(beginning{at, s}) }

// AnswerPending answers what is unanswered, as the program is about to be killed: it is refused, or fails where it may have
// run. Streams go on.
func (d *Dispatcher) AnswerPending() { d.post(vacating{}) }

type vacating struct{}

func (vacating) apply(d *Dispatcher) {
	for _, r := range d.requests {
		if !r.answered {
			d.giveUp(r, Answer{Verdict: Refused, Reason: "the program ends"}, ProgramEnding)
		}
	}
}

// StopAdmission refuses what comes from now on, before anything of it is sent: it could not be finished before the program is killed.
func (d *Dispatcher) StopAdmission() { d.post(stopTaking{}) }

type stopTaking struct{}

func (stopTaking) apply(d *Dispatcher) { d.ending = true }

// CloseResumable ends the streams whose clients ask another dispatcher for the rest, as the program is about to be killed. They
// are spread over a time, as all of their prompts are read anew. The youngest go first: the others may yet end.
func (d *Dispatcher) CloseResumable(over time.Duration) { d.post(moving(over)) }

type moving time.Duration

func (m moving) apply(d *Dispatcher) {
	var run []*attempt
	for _, r := range d.requests {
		for _, at := range r.out {
			if r.movable && at.stream != nil {
				run = append(run, at)
			}
		}
	}
	slices.SortFunc(run, func(a, b *attempt) int { return b.beganAt.Compare(a.beganAt) })
	for i, at := range run {
		d.after(time.Duration(m)*time.Duration(i+1)/time.Duration(len(run)), func() { go at.stream.Close() })
	}
}

type beginning struct {
	at     *attempt
	stream Stream
}

// apply hands the stream to the client: from now on the attempt is the client's, and nothing more goes out for
// the request. Where another answer came first, or the attempt was given up, the stream is closed.
func (b beginning) apply(d *Dispatcher) {
	at, r := b.at, b.at.r
	if r.answered || at.dropped {
		at.dropped = true
		go b.stream.Close() // it posts its end, and nobody takes it while we wait
		return
	}
	at.stream, at.beganAt = b.stream, d.clock()
	d.fetched(r)
	d.awaitLateReads(r)
	d.route(logic.Event{Kind: logic.StreamStarted, RequestID: r.id, Server: at.server, Attempt: at.n,
		Took: d.clock().Sub(at.sentAt)})
	d.answer(r, Answer{Verdict: Served, Stream: b.stream})
	for _, other := range r.out { // a second copy has lost the race
		other.cancel(LostRace)
	}
}
