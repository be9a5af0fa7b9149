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

// fasthttp parses the heads of answers. Their bodies are parsed here, because fasthttp hides the
// sizes of chunks: it would pass on endless data after an implausible chunk size, and the data of a
// chunk before its end is verified. Parsing is strict: data that violates the framing is an error
// and is not passed on.

const (
	maxSize         = 256 << 10 // bytes that a length or a chunk may state, the limit of any body
	maxLine         = 1 << 10   // bytes of a chunk size line or a trailer field
	maxTrailerLines = 32
	// chunkHold is how long the first bytes of a chunk wait for its end. What a client gets then has
	// not been verified.
	chunkHold = 100 * time.Millisecond
)

var (
	errNoFraming  = errors.New("the answer does not say where it ends")
	errBadFraming = errors.New("the answer's framing is broken")
)

// bodyReader returns a reader of the answer's body that returns io.EOF only if the body is
// complete. It passes each piece of the content to observe as it is read.
func bodyReader(h *fasthttp.ResponseHeader, br *bufio.Reader, observe func([]byte)) io.Reader {
	switch n := h.ContentLength(); {
	case h.StatusCode() == fasthttp.StatusNoContent || h.StatusCode() == fasthttp.StatusNotModified:
		return bytes.NewReader(nil)
	case n > maxSize:
		return invalidBody{fmt.Errorf("%w: a body of %d bytes", errBadFraming, n)}
	case n >= 0:
		return &sizedBody{br, n, observe}
	case n == -1:
		return &chunkedBody{br: br, observe: observe}
	}
	// A body that ends with its connection: a truncated one could not be told from a complete one.
	return invalidBody{errNoFraming}
}

// invalidBody is a body that is not read.
type invalidBody struct{ err error }

func (b invalidBody) Read([]byte) (int, error) { return 0, b.err }

// sizedBody reads a body of known length, of which left bytes remain.
type sizedBody struct {
	br      *bufio.Reader
	left    int
	observe func([]byte)
}

func (s *sizedBody) Read(p []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	n, err := s.br.Read(p[:min(len(p), s.left)])
	s.observe(p[:n])
	s.left -= n
	return n, noEOF(err)
}

// noEOF turns the end of a connection within a body into io.ErrUnexpectedEOF.
func noEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// chunkedBody reads a body in chunked encoding. The last bytes of a chunk are returned only once
// the chunk is seen to end there, so a chunk that fits into the buffer of one Read and comes within
// chunkHold is returned whole or not at all.
type chunkedBody struct {
	br      *bufio.Reader
	observe func([]byte)
	inLine  bool // a line of the framing has begun and has not ended
	inChunk bool // the size of the current chunk is known
	split   bool // a part of the current chunk was returned as the rest did not come in time
	left    int  // bytes of the current chunk
}

// begin reads the size of the next chunk, unless it is known, and returns how much of the chunk is
// left.
func (c *chunkedBody) begin() (left int, err error) {
	if c.inChunk {
		return c.left, nil
	}
	if c.left, err = c.readSize(); err == nil {
		c.inChunk = true
	}
	return c.left, err
}

func (c *chunkedBody) Read(p []byte) (int, error) {
	if left, err := c.begin(); err != nil {
		return 0, err
	} else if left == 0 {
		return 0, c.readTrailer()
	}
	n, err := c.readData(p[:min(len(p), c.left)])
	if err != nil {
		return 0, noEOF(err)
	}
	if c.left -= n; c.left > 0 {
		return n, nil
	}
	line, err := c.readLine()
	if err == nil && line != "" {
		err = fmt.Errorf("%w: a chunk does not end where it says", errBadFraming)
	}
	if err != nil {
		return 0, err
	}
	c.inChunk, c.split = false, false
	return n, nil
}

// readData fills p with data of the current chunk. It returns a part of it if the chunk is being
// written slowly: more has come chunkHold after the first bytes.
func (c *chunkedBody) readData(p []byte) (n int, err error) {
	var firstAt time.Time
	for n < len(p) {
		count, err := c.br.Read(p[n:])
		c.observe(p[n : n+count])
		n += count
		if err != nil {
			return n, err
		}
		if firstAt.IsZero() {
			firstAt = time.Now()
		}
		if c.split = c.split || time.Since(firstAt) >= chunkHold; c.split {
			break
		}
	}
	return n, nil
}

// readLine returns the text up to the next CR LF, which ends every line of the framing.
func (c *chunkedBody) readLine() (string, error) {
	var line []byte
	for len(line) <= maxLine {
		b, err := c.br.ReadByte()
		if err != nil {
			return "", noEOF(err)
		}
		c.inLine = true
		if line = append(line, b); b != '\n' {
			continue
		}
		c.inLine = false
		if text, ok := strings.CutSuffix(string(line), "\r\n"); ok {
			return text, nil
		}
		return "", fmt.Errorf("%w: a line does not end with CR LF", errBadFraming)
	}
	return "", fmt.Errorf("%w: an endless line", errBadFraming)
}

// readSize reads the line before a chunk and returns the size of the chunk.
func (c *chunkedBody) readSize() (int, error) {
	line, err := c.readLine()
	if err != nil {
		return 0, err
	}
	digits, _, _ := strings.Cut(line, ";") // extensions are ignored
	size, err := strconv.ParseUint(strings.TrimRight(digits, " \t"), 16, 32)
	if err != nil || strings.ContainsAny(digits, "+_") || size > maxSize {
		return 0, fmt.Errorf("%w: chunk of size %.20q", errBadFraming, line)
	}
	return int(size), nil
}

// readTrailer skips the trailer fields after the last chunk and returns io.EOF.
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
