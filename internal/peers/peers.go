// Package peers is the transport between dispatchers: calls over HTTP at an address of its own,
// with bounded sizes, rates, connections and queues. Calls from another cluster or from an unknown
// sender and calls that are too large are dropped, counted by cause, and logged at a limited rate.
// The package makes no decisions of its own.
package peers

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"standpulley/internal/front"
)

const (
	headerCluster = "X-Cluster" // name of the cluster
	// Random number of the cluster, drawn at its bootstrap; 0 if the sender does not know it yet.
	headerID     = "X-Cluster-Id"
	headerMember = "X-Member"

	callTimeout = 5 * time.Second // to receive a call, and to send its answer
	idleTimeout = 30 * time.Second
	maxCall     = 1 << 20 // bytes; RaftPath and ReadingPath allow maxLargeCall
	// RaftPath is the path of Raft frames between voters, which may hold a snapshot.
	RaftPath = "/agree/raft"
	// ReadingPath is the path by which a dispatcher that reads the registry reports a complete
	// list.
	ReadingPath  = "/agree/reading"
	maxLargeCall = 8 << 20
	maxAnswer    = 16 << 20

	callRate    = 1000             // calls per second from one sender, and as many in one burst
	logInterval = 10 * time.Second // between log lines of one cause
)

// The causes for which a call or a frame is dropped.
const (
	OtherCluster = "cluster"
	NotMember    = "sender"
	TooLarge     = "size"
	RateLimited  = "rate"
	QueueFull    = "queue"
	Malformed    = "form"
)

// Counts holds the numbers of calls and bytes in both directions, and of drops by cause. It may be
// read from any goroutine.
type Counts struct {
	In, Out, BytesIn, BytesOut atomic.Int64

	mu      sync.Mutex
	dropped map[string]int64
	logged  map[string]time.Time // last log line of each cause
}

// RecordDrop counts a dropped call or frame and logs it, at most one line per cause and
// logInterval.
func (c *Counts) RecordDrop(cause, sender, detail string) {
	c.mu.Lock()
	if c.dropped == nil {
		c.dropped, c.logged = map[string]int64{}, map[string]time.Time{}
	}
	c.dropped[cause]++
	n, suppressed := c.dropped[cause], time.Since(c.logged[cause]) < logInterval
	if !suppressed {
		c.logged[cause] = time.Now()
	}
	c.mu.Unlock()
	if !suppressed {
		slog.Warn("peers: dropped", "cause", cause, "from", sender, "total", n, "what", detail)
	}
}

// Dropped returns the number of drops by cause.
func (c *Counts) Dropped() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.dropped)
}

// Caller identifies the sender of a call.
type Caller struct {
	Name      string
	ClusterID uint64 // 0 if the caller does not know it yet
}

// Handler answers a call. An error is returned to the caller in place of an answer.
type Handler func(from Caller, path string, body []byte) ([]byte, error)

// Server receives calls, checks their senders and passes them to Handle.
type Server struct {
	Cluster   string        // name
	ClusterID func() uint64 // number of the cluster, 0 while it is not known
	IsMember  func(name string) bool
	Handle    Handler
	Counts    *Counts

	mu    sync.Mutex
	rates map[string]*rate.Limiter
	ln    net.Listener
	http  *fasthttp.Server
}

// Start listens at an address and accepts at most conns connections at once.
func (s *Server) Start(addr string, conns int) error {
	s.rates = map[string]*rate.Limiter{}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("key peers.listen: %w", err)
	}
	s.ln = ln
	s.http = &fasthttp.Server{
		Handler: s.serve, Concurrency: conns, ReadTimeout: callTimeout, WriteTimeout: callTimeout, IdleTimeout: idleTimeout, ReadBufferSize: 4 << 10,
		MaxRequestBodySize: maxLargeCall, NoDefaultServerHeader: true, NoDefaultDate: true, CloseOnShutdown: true, Logger: front.DiscardLogger{},
		HeaderReceived: func(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
			if path := string(h.RequestURI()); path == RaftPath || path == ReadingPath {
				return fasthttp.RequestConfig{}
			}
			return fasthttp.RequestConfig{MaxRequestBodySize: maxCall}
		},
		ErrorHandler: func(ctx *fasthttp.RequestCtx, err error) {
			cause := Malformed
			if errors.Is(err, fasthttp.ErrBodyTooLarge) {
				cause = TooLarge
			}
			s.Counts.RecordDrop(cause, string(ctx.Request.Header.Peek(headerMember)), err.Error())
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		},
	}
	go func() {
		if err := s.http.Serve(ln); err != nil {
			slog.Error("peers: no longer listening", "error", err)
		}
	}()
	return nil
}

// Close stops accepting connections.
func (s *Server) Close() {
	_ = s.ln.Close() // open connections end with the process
}

func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	h := &ctx.Request.Header
	from := Caller{Name: string(h.Peek(headerMember))}
	body := ctx.Request.Body()
	s.Counts.In.Add(1)
	s.Counts.BytesIn.Add(int64(len(body)))
	id, err := strconv.ParseUint(string(h.Peek(headerID)), 16, 64)
	from.ClusterID = id
	own := s.ClusterID()
	switch name := string(h.Peek(headerCluster)); {
	case err != nil || !ctx.IsPost():
		s.reject(ctx, Malformed, from.Name, "not a call of this program", fasthttp.StatusBadRequest)
	case name != s.Cluster:
		s.reject(ctx, OtherCluster, from.Name, fmt.Sprintf("of cluster %q, this is %q", name, s.Cluster), fasthttp.StatusForbidden)
	case id != 0 && own != 0 && id != own:
		s.reject(ctx, OtherCluster, from.Name, fmt.Sprintf("of cluster number %x, this is %x: a cluster of the same name that was founded apart", id, own), fasthttp.StatusForbidden)
	case !s.IsMember(from.Name):
		s.reject(ctx, NotMember, from.Name, "neither a voter nor among agree.others", fasthttp.StatusForbidden)
	case !s.limiter(from.Name).Allow():
		s.reject(ctx, RateLimited, from.Name, "more than its share of calls", fasthttp.StatusTooManyRequests)
	default:
		answer, err := s.Handle(from, string(ctx.Path()), body)
		if err != nil {
			ctx.Error(err.Error(), fasthttp.StatusConflict)
			return
		}
		s.Counts.BytesOut.Add(int64(len(answer)))
		ctx.SetBody(answer)
	}
}

// reject records a call as dropped and answers it with an error.
func (s *Server) reject(ctx *fasthttp.RequestCtx, cause, sender, text string, status int) {
	s.Counts.RecordDrop(cause, sender, text)
	ctx.Error(text, status)
}

// limiter returns the rate limiter of a member.
func (s *Server) limiter(name string) *rate.Limiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.rates[name] // bounded, as only names of members get here
	if l == nil {
		l = rate.NewLimiter(callRate, callRate)
		s.rates[name] = l
	}
	return l
}

// ErrRemote marks an error that the remote dispatcher has returned. Its text is empty, as the
// wrapping error has the text of the remote one.
var ErrRemote = errors.New("")

// Link is the client side of the transport to one dispatcher.
type Link struct {
	addr     string
	cluster  string
	member   string
	id       func() uint64
	counts   *Counts
	client   *fasthttp.HostClient
	answered atomic.Bool
}

// Answered reports whether the remote dispatcher has ever answered.
func (l *Link) Answered() bool { return l.answered.Load() }

const maxLinkConns = 4 // open at once to one dispatcher

// NewLink returns a link to an address, over which calls are sent in the name of a member of a
// cluster.
func NewLink(addr, cluster, member string, id func() uint64, counts *Counts) *Link {
	return &Link{addr: addr, cluster: cluster, member: member, id: id, counts: counts, client: &fasthttp.HostClient{
		Addr: addr, MaxConns: maxLinkConns, MaxIdleConnDuration: idleTimeout / 2, MaxResponseBodySize: maxAnswer, NoDefaultUserAgentHeader: true,
		Dial:                      func(addr string) (net.Conn, error) { return net.DialTimeout("tcp", addr, time.Second) },
		MaxIdemponentCallAttempts: 1,
	}}
}

// Call sends a call and returns its answer, or an error if there is none within the timeout. In the
// latter case it is not known whether the remote dispatcher has received the call.
func (l *Link) Call(path string, body []byte, timeout time.Duration) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + l.addr + path)
	req.Header.Set(headerCluster, l.cluster)
	req.Header.Set(headerID, strconv.FormatUint(l.id(), 16))
	req.Header.Set(headerMember, l.member)
	req.SetBodyRaw(body)
	l.counts.Out.Add(1)
	l.counts.BytesOut.Add(int64(len(body)))
	req.SetTimeout(timeout)
	if err := l.client.Do(req, resp); err != nil {
		return nil, fmt.Errorf("%s%s: %w", l.addr, path, err)
	}
	l.answered.Store(true)
	l.counts.BytesIn.Add(int64(len(resp.Body())))
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, fmt.Errorf("%w%s", ErrRemote, resp.Body())
	}
	return slices.Clone(resp.Body()), nil
}

// Close closes idle connections.
func (l *Link) Close() { l.client.CloseIdleConnections() }
