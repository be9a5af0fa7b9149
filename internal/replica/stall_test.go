package replica

import (
	"io"
	"testing"
	"time"

	"standpulley/internal/fake"
	"standpulley/logic"
)

// TestPausedStreamGoesOn guards against the cut of a live stream whose events pause for almost the
// 5 s for which a client may wait. A stream that says nothing any more must end before they are over.
func TestPausedStreamGoesOn(t *testing.T) {
	t.Parallel()
	const (
		clientWait = 5 * time.Second        // after the last event of a stream that is not whole
		delivery   = 150 * time.Millisecond // for the end to reach the client
		pause      = 4500 * time.Millisecond
	)
	for name, c := range map[string]struct {
		act  func(*fake.Exchange)
		want logic.Outcome
	}{
		"pauses": {func(x *fake.Exchange) { x.Head(); x.Token("one"); time.Sleep(pause); x.Token("two"); x.End() }, logic.Delivered},
		"silent": {func(x *fake.Exchange) { x.Head(); x.Token("one"); x.WaitClosed() }, logic.ConnectionLost},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rep, _ := send(NewPool(4, 0, 0), startReplica(t, c.act).Addr, 5*time.Second, "b")
			s := <-rep.began
			lastEvent := time.Now()
			_, err := s.Next()
			for err == nil {
				lastEvent = time.Now()
				_, err = s.Next()
			}
			took := time.Since(lastEvent)
			if got := rep.result(t); got.Outcome != c.want || (err == io.EOF) != (c.want == logic.Delivered) || took > clientWait-delivery {
				t.Errorf("%+v, %v, %v after the last event", got, err, took)
			}
		})
	}
}
