package replica

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"standpulley/internal/dispatch"
	"standpulley/logic"
)

const (
	streamBuffer    = 4 << 10  // bytes that are passed on at once
	maxStreamBuffer = 16 << 10 // the same for a longer chunk, or a longer first event
)

// stream is an answer whose first event has been received.
type stream struct {
	a        *attempt
	body     io.Reader
	buf      []byte
	filled   int   // bytes of buf that are in use
	returned int   // the first of them, which the caller of Next has got
	relayed  bool  // Next was called
	err      error // ends the stream
	progress progress

	mu    sync.Mutex
	ended bool
}

func newStream(a *attempt) *stream {
	s := &stream{a: a, buf: make([]byte, streamBuffer), progress: progress{lastEvent: time.Now()}}
	s.body = bodyReader(&a.resp.Header, a.c.br, func(text []byte) { s.progress.record(text, time.Now()) })
	return s
}

// open reads the answer up to the end of its first event, which may arrive in several reads.
// Nothing is passed on before that: an answer that breaks off earlier counts as no answer.
func (s *stream) open() error {
	if _, err := s.a.c.br.Peek(1); err != nil {
		return err
	}
	s.a.allowSilence(eventSilence)
	for !hasEvent(s.buf[:s.filled]) && s.filled < maxStreamBuffer {
		err := s.fill()
		if err == io.EOF && s.filled > 0 { // the complete answer
			s.err = err
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// fill reads more of the answer into the buffer, which must not be full.
func (s *stream) fill() error {
	if err := s.makeRoom(); err != nil {
		return err
	}
	n, err := s.body.Read(s.buf[s.filled:])
	s.filled += n
	return err
}

// makeRoom makes the buffer large enough for the next chunk, up to maxStreamBuffer: a chunk that fits
// is passed on only once it is verified.
func (s *stream) makeRoom() error {
	need := s.filled + streamBuffer
	if body, ok := s.body.(*chunkedBody); ok {
		left, err := body.begin()
		if err != nil {
			return err
		}
		need = s.filled + left
	}
	if size := min(need, maxStreamBuffer); size > len(s.buf) {
		s.buf = append(s.buf, make([]byte, size-len(s.buf))...)
	}
	return nil
}

// allowPause lets the next read from the network wait until the stream counts as stopped. It holds
// from the first event on, which is passed on before anything else is read.
func (s *stream) allowPause() {
	_ = s.a.c.SetReadDeadline(s.progress.deadline(s.a.req.Pool.StallTimeout)) // an error recurs in the read
}

// Next returns the next bytes as they arrive. A stream has no deadline: it is cut only if no event
// ends for StallTimeout and none is being written.
func (s *stream) Next() ([]byte, error) {
	if s.relayed {
		s.progress.resume(time.Now())
	} else { // the client has not got the first event yet
		s.relayed = true
		s.a.liftDeadline()
		s.a.c.beforeRead = s.allowPause
	}
	s.filled = copy(s.buf, s.buf[s.returned:s.filled])
	s.returned = s.ready()
	for s.returned == 0 && s.err == nil {
		s.err = s.fill()
		s.returned = s.ready()
	}
	if s.returned > 0 {
		return s.buf[:s.returned], nil
	}
	if s.err == io.EOF {
		s.end(dispatch.Result{Outcome: logic.Delivered}, true)
		return nil, io.EOF
	}
	s.end(dispatch.Result{Outcome: logic.ConnectionLost, Broken: s.breakCause(), Detail: fmt.Sprintf("%v; %v", s.err, &s.progress)}, false)
	return nil, s.err
}

// ready returns how many bytes of the buffer can be passed on: all but the part of an event in a
// chunk of which more is to come.
func (s *stream) ready() int {
	body, chunked := s.body.(*chunkedBody)
	if !chunked || !body.inChunk || s.err == io.EOF || s.filled == maxStreamBuffer {
		return s.filled
	}
	return eventsEnd(s.buf[:s.filled])
}

// eventsEnd returns where the last complete event in text ends, or 0.
func eventsEnd(text []byte) (end int) {
	at := 0
	for line := range bytes.Lines(text) {
		at += len(line)
		if line[len(line)-1] == '\n' && len(bytes.TrimRight(line, "\r\n")) == 0 {
			end = at
		}
	}
	return end
}

// breakCause returns why the stream has ended before its end.
func (s *stream) breakCause() dispatch.Cause {
	body, chunked := s.body.(*chunkedBody)
	switch {
	case errors.Is(s.err, errBadFraming):
		return dispatch.FramingInvalid
	case !isTimeout(s.err):
		return dispatch.ConnectionBroken
	case chunked && body.inLine:
		return dispatch.FramingStalled
	case s.progress.inEvent:
		return dispatch.EventStalled
	}
	return dispatch.NoEvent
}

// Close aborts a stream that has not been read to its end.
func (s *stream) Close() {
	s.end(dispatch.Result{Outcome: logic.Cancelled, Detail: "stream closed"}, false)
}

// end reports the result of the attempt once, and reuses the connection if the answer is complete.
func (s *stream) end(res dispatch.Result, complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.ended = true
	if complete && !s.a.resp.ConnectionClose() {
		s.a.stopInterrupt()
		s.a.req.Pool.put(s.a.c)
	} else {
		s.a.dropConn()
	}
	s.a.cancel()
	s.a.observer.Ended(res)
}
