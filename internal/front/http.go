package front

import (
	"bytes"
	"errors"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"standpulley/internal/dispatch"
)

const (
	maxIDLen = 64
	// maxHeaderFields and maxListElements bound the fields of a request's header and the elements of
	// lists in all of them, such as cookies: once parsed, each takes many times the memory of the few
	// bytes that it may have on the wire.
	maxHeaderFields = 100
	maxListElements = 400
)

// hasTooManyFields reports whether a header has more fields or list elements than are accepted.
func hasTooManyFields(raw []byte) bool {
	return bytes.Count(raw, []byte("\n")) > maxHeaderFields || bytes.Count(raw, []byte(","))+bytes.Count(raw, []byte(";")) > maxListElements
}

// releaseHeader frees the memory of a request's header once the request was handed on. Resetting the
// header would keep the memory for the next request on the connection.
func releaseHeader(ctx *fasthttp.RequestCtx) { ctx.Request.Header = fasthttp.RequestHeader{} }

// ValidID reports whether an ID can be used in a path and in a header without escaping.
func ValidID(id string) bool {
	if id == "" || len(id) > maxIDLen {
		return false
	}
	for _, c := range []byte(id) {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' || c == '_') {
			return false
		}
	}
	return true
}

// hopByHop lists the headers that apply to a single connection (RFC 9110, 7.6.1) and those of the
// framing, which is rebuilt for each replica.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "Host"}

// ForwardedHeaders returns the headers of a request that are forwarded to replicas unchanged: all
// except those that apply to the client's connection only and those in own, which the dispatcher
// sets itself. Unknown headers are forwarded because only replicas know the meaning of some, such
// as the key by which they discard repeated requests.
func ForwardedHeaders(h *fasthttp.RequestHeader, own ...string) (all [][2]string) {
	skip := map[string]bool{}
	for _, name := range slices.Concat(strings.Split(string(h.Peek("Connection")), ","), hopByHop, own) {
		skip[strings.ToLower(strings.TrimSpace(name))] = true
	}
	for name, value := range h.All() {
		if !skip[strings.ToLower(string(name))] {
			all = append(all, [2]string{string(name), string(value)})
		}
	}
	return all
}

// headerFieldBytes is the memory that a forwarded field takes beside its text.
const headerFieldBytes = 64

// HeaderBytes returns the memory of forwarded headers.
func HeaderBytes(headers [][2]string) (bytes int) {
	for _, h := range headers {
		bytes += headerFieldBytes + len(h[0]) + len(h[1])
	}
	return bytes
}

// SetRetryAfter sets Retry-After, in decimal seconds.
func SetRetryAfter(ctx *fasthttp.RequestCtx, after time.Duration) {
	ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(max(after, 0).Seconds(), 'f', 3, 64))
}

// SetSettingsHeader names the settings that were in force for the request, if the dispatchers agree
// on their settings.
func SetSettingsHeader(ctx *fasthttp.RequestCtx, a dispatch.Answer) {
	if a.SettingsVersion != "" {
		ctx.Response.Header.Set("X-Settings", a.SettingsVersion)
	}
}

// ServeReadiness answers whether the program accepts requests at this address: 200, or 503 with its
// phase.
func ServeReadiness(ctx *fasthttp.RequestCtx, core *dispatch.Dispatcher) {
	c, ok := ctx.Conn().(*Conn)
	switch {
	case ok && c.isRetired():
		ctx.Error("not now: the address is not in use any more", fasthttp.StatusServiceUnavailable)
	case core.Phases.AcceptsClients():
	case !core.Phases.CanServe():
		ctx.Error("not now: no replicas are known that could serve", fasthttp.StatusServiceUnavailable)
	default:
		ctx.Error("not now: "+core.Phases.Now().String(), fasthttp.StatusServiceUnavailable)
	}
}

var (
	errBothFramings = errors.New("both Content-Length and Transfer-Encoding")
	errEncoding     = errors.New("Transfer-Encoding is not chunked")
	errFoldedHeader = errors.New("a folded header line")

	errTooManyFields = errors.New("the header has too many fields")
)

// checkFraming rejects request heads that other HTTP implementations may frame differently than
// fasthttp does, because a second request could be hidden in such a body. fasthttp itself accepts
// Content-Length together with Transfer-Encoding, the encoding "identity", and folded lines.
func checkFraming(raw []byte) error {
	length, encoding := false, false
	for line := range bytes.Lines(raw) {
		if line[0] == ' ' || line[0] == '\t' {
			return errFoldedHeader
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			length = true
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			encoding = true
			if !bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked")) {
				return errEncoding
			}
		}
	}
	if length && encoding {
		return errBothFramings
	}
	return nil
}
