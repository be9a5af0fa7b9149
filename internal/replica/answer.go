package replica

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// fasthttp reads the heads of answers, but it hides the sizes of chunks: it would pass on whatever keeps coming
// under a size that no replica means, and a chunk before it is known to end where it says. So the bodies of
// answers are read here, and strictly: what does not keep to its framing is an error and is not passed on.

const (
	headTimeout     = 400 * time.Millisecond // a head is sent in one piece: one that has begun and does not end never will
	maxInterim      = 100                    // answers 1xx ahead of one answer
	maxChunk        = 256 << 10              // as much as any body may hold
	maxLine         = 1 << 10                // of a chunk's size with its extension, or of a trailer
	maxTrailerLines = 32                     // lines
)

var (
	errNoFraming  = errors.New("the answer does not say where it ends")
	errBadFraming = errors.New("the answer's framing is broken")
)

// readHead reads the head of the final answer and passes over the interim ones. Where that fails, spoilt tells
// whether something came that is no head.
func (a *attempt) readHead() (spoilt bool, err error) {
	for range maxInterim {
		if _, err := a.c.br.Peek(1); err != nil {
			return false, err
		}
		a.setReadTimeout(headTimeout)
		if err := a.resp.Header.Read(a.c.br); err != nil {
			return true, err
		}
		if s := a.resp.StatusCode(); s >= fasthttp.StatusOK || s == fasthttp.StatusSwitchingProtocols {
			return false, nil
		}
		a.setReadTimeout(time.Until(a.to.Until))
	}
	return true, fmt.Errorf("%w: too many interim answers", errBadFraming)
}

// setReadTimeout lets the connection's next reads take so long at most, unless the attempt has been given up.
func (a *attempt) setReadTimeout(most time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ctx.Err() == nil && !a.deadlineLifted {
		until := time.Now().Add(most)
		if a.to.Until.Before(until) {
			until = a.to.Until
		}
		_ = a.c.SetReadDeadline(until) // a failure shows in the read
	}
}

// hasEvent tells whether text holds a whole event: lines up to an empty one, among them one with data.
func hasEvent(text []byte) bool {
	data := false
	for line := range bytes.Lines(text) {
		switch end := bytes.TrimRight(line, "\r\n"); {
		case bytes.HasPrefix(line, []byte("data")):
			data = true
		case len(end) == 0 && data && line[len(line)-1] == '\n':
			return true
		}
	}
	return false
}

// bodyReader gives the reader of the answer's bodyReader, which ends with io.EOF only where the bodyReader is whole.
func bodyReader(h *fasthttp.ResponseHeader, br *bufio.Reader) io.Reader {
	switch n := h.ContentLength(); {
	case h.StatusCode() == fasthttp.StatusNoContent || h.StatusCode() == fasthttp.StatusNotModified:
		return bytes.NewReader(nil)
	case n >= 0:
		return &sizedBody{br, n}
	case n == -1:
		return &chunkedBody{br: br}
	}
	return unframedBody{}
}

// unframedBody is a body that ends with its connection. Nobody could tell a broken one from a whole one.
type unframedBody struct{}

func (unframedBody) Read([]byte) (int, error) { return 0, errNoFraming }

// sizedBody reads a body of known length.
type sizedBody struct {
	br   *bufio.Reader
	left int
}

func (s *sizedBody) Read(p []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	n, err := s.br.Read(p[:min(len(p), s.left)])
	s.left -= n
	return n, noEOF(err)
}

// noEOF makes the end of a connection inside a body an error.
func noEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// chunkedBody reads a body in chunkedBody. What is left of a chunk is given only once it is seen to end where it should, as
// far as there is room for it.
type chunkedBody struct {
	br   *bufio.Reader
	left int // of the present chunk
}

func (c *chunkedBody) Read(p []byte) (int, error) {
	if c.left == 0 {
		size, err := c.readSize()
		if err != nil {
			return 0, err
		}
		if size == 0 {
			return 0, c.readTrailer()
		}
		c.left = size
	}
	n, err := io.ReadFull(c.br, p[:min(len(p), c.left)])
	if err != nil {
		return 0, noEOF(err)
	}
	if c.left -= n; c.left == 0 {
		line, err := c.readLine()
		if err == nil && line != "" {
			err = fmt.Errorf("%w: a chunk does not end where it says", errBadFraming)
		}
		if err != nil {
			return 0, err
		}
	}
	return n, nil
}

// readLine reads up to the next CR LF, which ends every readLine of the framing.
func (c *chunkedBody) readLine() (string, error) {
	var line []byte
	for len(line) <= maxLine {
		b, err := c.br.ReadByte()
		if err != nil {
			return "", noEOF(err)
		}
		if line = append(line, b); b != '\n' {
			continue
		}
		if text, ok := strings.CutSuffix(string(line), "\r\n"); ok {
			return text, nil
		}
		return "", fmt.Errorf("%w: a line does not end with CR LF", errBadFraming)
	}
	return "", fmt.Errorf("%w: an endless line", errBadFraming)
}

// readSize reads the line before a chunk.
func (c *chunkedBody) readSize() (int, error) {
	line, err := c.readLine()
	if err != nil {
		return 0, err
	}
	digits, _, _ := strings.Cut(line, ";") // an extension is of no interest
	size, err := strconv.ParseUint(strings.TrimRight(digits, " \t"), 16, 32)
	if err != nil || strings.ContainsAny(digits, "+_") || size > maxChunk {
		return 0, fmt.Errorf("%w: chunk of size %.20q", errBadFraming, line)
	}
	return int(size), nil
}

// readTrailer reads what may follow the last chunk and gives the body's io.EOF.
func (c *chunkedBody) readTrailer() error {
	for range maxTrailerLines {
		line, err := c.readLine()
		if err != nil {
			return err
		}
		if line == "" {
			return io.EOF
		}
	}
	return fmt.Errorf("%w: an endless trailer", errBadFraming)
}
