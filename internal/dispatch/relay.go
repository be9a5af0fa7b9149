package dispatch

import (
	"slices"
	"time"

	"standpulley/logic"
)

// Began is called by the transport when the first event of an answer is there.
func (at *attempt) Began(s Stream) { at.d.post(streamStart{at, s}) }

// AnswerPending answers what is unanswered, as the program is about to be killed: it is refused, or fails where it may have
// run. Streams go on.
func (d *Dispatcher) AnswerPending() { d.post(pendingAnswers{}) }

type pendingAnswers struct{}

func (pendingAnswers) apply(d *Dispatcher) {
	for _, r := range d.requests {
		if !r.answered {
			d.giveUp(r, Answer{Verdict: Refused, Reason: "the program ends"}, ProgramEnding)
		}
	}
}

// StopAdmission refuses what comes from now on, before anything of it is sent: it could not be finished before the program is killed.
func (d *Dispatcher) StopAdmission() { d.post(admissionStop{}) }

type admissionStop struct{}

func (admissionStop) apply(d *Dispatcher) { d.admissionStopped = true }

// CloseResumable ends the streams whose clients ask another dispatcher for the rest, as the program is about to be killed. They
// are spread over a time, as all of their prompts are read anew. The youngest go first: the others may yet end.
func (d *Dispatcher) CloseResumable(over time.Duration) { d.post(resumableClose(over)) }

type resumableClose time.Duration

func (m resumableClose) apply(d *Dispatcher) {
	var streams []*attempt
	for _, r := range d.requests {
		for _, at := range r.inFlight {
			if r.resumable && at.stream != nil {
				streams = append(streams, at)
			}
		}
	}
	slices.SortFunc(streams, func(a, b *attempt) int { return b.beganAt.Compare(a.beganAt) })
	for i, at := range streams {
		d.after(time.Duration(m)*time.Duration(i+1)/time.Duration(len(streams)), func() { go at.stream.Close() })
	}
}

type streamStart struct {
	at     *attempt
	stream Stream
}

// apply hands the stream to the client: from now on the attempt is the client's, and nothing more goes out for
// the request. Where another answer came first, or the attempt was given up, the stream is closed.
func (b streamStart) apply(d *Dispatcher) {
	at, r := b.at, b.at.r
	if r.answered || at.cancelled {
		at.cancelled = true
		go b.stream.Close() // it posts its end, and nobody takes it while we wait
		return
	}
	at.stream, at.beganAt = b.stream, d.clock()
	d.markFetched(r)
	d.trackAbandonedReads(r)
	d.route(logic.Event{Kind: logic.StreamStarted, RequestID: r.id, Server: at.server, Attempt: at.number,
		Took: d.clock().Sub(at.sentAt)})
	d.answer(r, Answer{Verdict: Served, Stream: b.stream})
	for _, other := range r.inFlight { // a second copy has lost the race
		other.cancel(LostRace)
	}
}
