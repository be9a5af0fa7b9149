package dispatch

import (
	"log"
	"slices"
	"time"

	"standpulley/logic"
)

// Began is called by the transport when the first event of an answer has arrived.
func (at *attempt) Began(s Stream) { at.dispatcher.post(streamStart{at, s}) }

// AnswerPending answers all unanswered requests because the program is about to be killed: they are
// refused, or failed if they may have run. Streams continue.
func (d *Dispatcher) AnswerPending() { d.post(pendingAnswers{}) }

type pendingAnswers struct{}

func (pendingAnswers) apply(d *Dispatcher) {
	for _, r := range d.requests {
		if !r.answered {
			d.giveUp(r, Answer{Verdict: Refused, Reason: "the program ends"}, ProgramEnding)
		}
	}
}

// StopAdmission refuses all further requests before anything is sent for them, as they could not
// finish before the program is killed.
func (d *Dispatcher) StopAdmission() { d.post(admissionStop{}) }

type admissionStop struct{}

func (admissionStop) apply(d *Dispatcher) { d.admissionStopped = true }

// CloseResumable closes the streams whose clients ask another dispatcher for the rest, because the
// program is about to be killed. The closes are spread over the given time, as every prompt must be
// read again. The youngest streams are closed first, because the older ones may still end on their
// own.
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
	attempt *attempt
	stream  Stream
}

// apply hands the stream to the client. From now on the attempt belongs to the client, and no
// further attempt is sent for the request. If the request was answered before or the attempt was
// given up, the stream is closed.
func (b streamStart) apply(d *Dispatcher) {
	at, r := b.attempt, b.attempt.request
	if r.answered || at.cancelled {
		at.cancelled = true
		// Close posts the end of the attempt to this goroutine, so it must not be awaited here.
		go b.stream.Close()
		return
	}
	at.stream, at.beganAt = b.stream, d.clock()
	log.Printf("%s attempt %d stream began after %s", r.id, at.number, elapsedSince(at.sentAt))
	d.markFetched(r)
	d.trackAbandonedReads(r)
	d.route(logic.Event{Kind: logic.StreamStarted, RequestID: r.id, Server: at.server, Attempt: at.number,
		Took: d.clock().Sub(at.sentAt)})
	d.answer(r, Answer{Verdict: Served, Stream: b.stream})
	for _, other := range r.inFlight { // a second copy has lost the race
		other.cancel(LostRace)
	}
}
