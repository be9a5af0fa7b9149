package program

import (
	"log"
	"net"
	"time"

	"standpulley/internal/dispatch"
)

const (
	// New connections still arrive for this long after SIGTERM. What they bring is to be admitted, so the
	// port, which accepts until connections have ceased to arrive, closes before keepAliveAfterTerm.
	acceptAfterTerm   = 400 * time.Millisecond
	acceptBacklogTime = 50 * time.Millisecond // time to accept connections that wait in the kernel's backlog
	// SIGKILL follows SIGTERM no sooner than the longest request deadline plus this.
	killGrace       = 700 * time.Millisecond
	killDeadlineCap = 3 * time.Second // a longer deadline counts as this
	// Requests still unanswered are answered this long before the earliest SIGKILL.
	answerMargin = 400 * time.Millisecond
	// A request that comes this long after SIGTERM is lost if SIGKILL finds it unanswered.
	lateAfterTerm = 700 * time.Millisecond
	// SIGTERM, and the timers that it starts, may be late by this much, as the process may be held up.
	signalDelay = 150 * time.Millisecond
	// After SIGTERM clients may use their open connections for this long.
	keepAliveAfterTerm = lateAfterTerm - signalDelay
	moveStart          = 0.7                   // fraction of answerBy after which streams start to move
	moveSpread         = 0.2                   // fraction of answerBy over which the moves are spread
	selfDialTimeout    = 50 * time.Millisecond // timeout for a connection to the local machine
)

// answerBy returns how long after SIGTERM requests may wait for an answer. A request that is
// unanswered when SIGKILL arrives never gets one.
func (s *stack) answerBy() time.Duration {
	longest := time.Duration(0)
	for _, c := range s.cfg.Settings.Classes {
		longest = max(longest, c.Deadline)
	}
	return max(min(longest, killDeadlineCap)+killGrace-answerMargin, 0)
}

// scheduleShutdown makes sure that the SIGKILL which may follow the SIGTERM at termAt interrupts
// nothing. New requests are refused once clients have had time to leave. Requests that are
// unanswered shortly before SIGKILL get an answer. Streams that SIGKILL would cut are moved
// earlier, if they can be moved: clients that reconnect early find another dispatcher rather than
// one that is about to be restarted next.
func (s *stack) scheduleShutdown(termAt time.Time) {
	by := s.answerBy()
	in := func(d time.Duration) time.Duration { return time.Until(termAt.Add(d)) }
	time.AfterFunc(in(min(keepAliveAfterTerm, by)), s.core.StopAdmission)
	time.AfterFunc(in(fractionOf(by, moveStart)), func() {
		over := fractionOf(by, moveSpread)
		// A successor stays available, so moves are spread out: fewer clients reconnect at once,
		// and more streams end by themselves.
		if s.hasSuccessor() {
			over = time.Until(termAt.Add(by))
		}
		s.core.CloseResumable(over)
	})
	time.AfterFunc(in(by), func() { s.core.AnswerPending(); s.core.CloseResumable(0) })
}

// hasSuccessor reports whether another process, a new version, listens on the client address. It is
// called after this process has closed that address.
func (s *stack) hasSuccessor() bool {
	c, err := net.DialTimeout("tcp", s.cfg.Listen, selfDialTimeout)
	if err != nil {
		return false
	}
	_ = c.Close() // nothing was sent on it
	return true
}

func fractionOf(d time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(d))
}

// drain accepts connections for a while longer, finishes the requests that were accepted and closes
// all ports. All of its times count from the arrival of SIGTERM.
func (p *program) drain(termAt time.Time) error {
	if err := p.current.core.Phases.Enter(dispatch.Draining); err != nil {
		return err
	}
	p.sigtermAt = termAt
	close(p.draining)
	p.current.scheduleShutdown(termAt)
	log.Printf("draining, %v after SIGTERM", time.Since(termAt))
	time.Sleep(time.Until(termAt.Add(acceptAfterTerm)))
	done := make(chan struct{})
	for _, port := range p.ports {
		go func() {
			port.Shutdown(acceptBacklogTime)
			done <- struct{}{}
		}()
	}
	for range p.ports {
		<-done
	}
	time.Sleep(time.Until(termAt.Add(min(keepAliveAfterTerm, p.current.answerBy()))))
	err := p.current.finish()
	log.Print("stopped")
	return err
}
