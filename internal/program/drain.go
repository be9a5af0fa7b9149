package program

import (
	"log"
	"net"
	"time"

	"standpulley/internal/dispatch"
)

const (
	acceptLonger  = 450 * time.Millisecond // new connections still come for 0.4 s after SIGTERM
	acceptedAhead = 50 * time.Millisecond  // and those that the machine has accepted are not lost
	killedAfter   = 700 * time.Millisecond // SIGKILL follows SIGTERM no sooner than the longest deadline and this ...
	killedAtMost  = 3 * time.Second        // ... with a longer deadline counted as this
	vacatedAhead  = 400 * time.Millisecond // so much sooner what is still unanswered gets its answer
	keepOpen      = 600 * time.Millisecond // after SIGTERM clients may use the connections that they have
	moveFrom      = 0.7                    // part of the time until vacatedAhead after which streams are moved ...
	moveOver      = 0.2                    // ... one by one, over this part of it
	dialSelf      = 50 * time.Millisecond  // for a connection to the machine itself
)

// vacateBy is how long after SIGTERM requests may wait for an answer. What is unanswered when SIGKILL comes never
// gets one.
func (s *stack) vacateBy() time.Duration {
	longest := time.Duration(0)
	for _, c := range s.cfg.Settings.Classes {
		longest = max(longest, c.Deadline)
	}
	return max(min(longest, killedAtMost)+killedAfter-vacatedAhead, 0)
}

// vacate sees to it that SIGKILL, which may follow a SIGTERM that came at a time, finds nothing. What comes when clients have had their
// time to go is not taken any more. What is unanswered shortly
// before it gets its answer. Streams that it would cut are moved, where that can be done, sooner: the clients that come
// back then find another dispatcher rather than one that is being restarted next.
func (s *stack) vacate(told time.Time) {
	by := s.vacateBy()
	in := func(d time.Duration) time.Duration { return time.Until(told.Add(d)) }
	time.AfterFunc(in(min(keepOpen, by)), s.core.StopAdmission)
	time.AfterFunc(in(part(by, moveFrom)), func() {
		over := part(by, moveOver)
		if s.succeeded() { // then somebody will be there also later: fewer at once, and more of them may end before
			over = time.Until(told.Add(by))
		}
		s.core.CloseResumable(over)
	})
	time.AfterFunc(in(by), func() { s.core.AnswerPending(); s.core.CloseResumable(0) })
}

// succeeded tells whether another process, a new version, listens at the clients' address after this one has closed it.
func (s *stack) succeeded() bool {
	c, err := net.DialTimeout("tcp", s.cfg.Listen, dialSelf)
	if err != nil {
		return false
	}
	_ = c.Close() // nothing was said on it
	return true
}

func part(d time.Duration, of float64) time.Duration { return time.Duration(of * float64(d)) }

// drain accepts for a while longer and finishes what was taken. All of its times count from when SIGTERM came.
func (p *program) drain(told time.Time) error {
	if err := p.now.core.Phases.Enter(dispatch.Draining); err != nil {
		return err
	}
	p.toldToStop = told
	close(p.draining)
	p.now.vacate(told)
	log.Printf("draining, %v after SIGTERM", time.Since(told))
	time.Sleep(time.Until(told.Add(acceptLonger)))
	done := make(chan struct{})
	for _, port := range p.ports {
		go func() {
			port.Shutdown(acceptedAhead)
			done <- struct{}{}
		}()
	}
	for range p.ports {
		<-done
	}
	time.Sleep(time.Until(told.Add(min(keepOpen, p.now.vacateBy()))))
	err := p.now.finish()
	p.old.Wait()
	log.Print("stopped")
	return err
}
