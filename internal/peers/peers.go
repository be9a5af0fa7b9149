// Package peers carries what dispatchers say to each other: calls over HTTP at an address of its own. It is bounded in
// size, rate, connections and queue. What is not from this cluster, from nobody known or too large is dropped, counted
// by its cause, and logged now and then. It decides nothing.
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
	headerCluster = "X-Cluster"    // its name
	headerID      = "X-Cluster-Id" // and what was drawn when it was founded; 0 from who does not know it yet
	headerMember  = "X-Member"

	callTime  = 5 * time.Second // for a call to be whole, and for its answer to be taken
	idleTime  = 30 * time.Second
	smallCall = 1 << 20 // bytes
	// RaftPath is the path of the voters' frames, which may hold a snapshot.
	RaftPath = "/agree/raft"
	// ReadingPath is the path of what a reader of the register heard: a whole list.
	ReadingPath = "/agree/reading"
	largeCall   = 8 << 20
	answerMost  = 16 << 20

	rateUsual = 1000 // calls a second from one sender, and as many at once
	logEvery  = 10 * time.Second
)

// Causes for which something is dropped.
const (
	OtherCluster = "cluster"
	NotMember    = "sender"
	TooLarge     = "size"
	RateLimited  = "rate"
	QueueFull    = "queue"
	Malformed    = "form"
)

// Counts are the figures of all that was said. They may be read from any goroutine.
type Counts struct {
	In, Out, BytesIn, BytesOut atomic.Int64

	mu      sync.Mutex
	dropped map[string]int64
	said    map[string]time.Time
}

// RecordDrop books something that was dropped and logs it, one line for each cause in a while.
func (c *Counts) RecordDrop(cause, who, what string) {
	c.mu.Lock()
	if c.dropped == nil {
		c.dropped, c.said = map[string]int64{}, map[string]time.Time{}
	}
	c.dropped[cause]++
	n, quiet := c.dropped[cause], time.Since(c.said[cause]) < logEvery
	if !quiet {
		c.said[cause] = time.Now()
	}
	c.mu.Unlock()
	if !quiet {
		slog.Warn("peers: dropped", "cause", cause, "from", who, "total", n, "what", what)
	}
}

// Dropped gives the causes with their counts.
func (c *Counts) Dropped() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.dropped)
}

// Caller is who calls.
type Caller struct {
	Name      string
	ClusterID uint64 // 0 where it does not know yet
}

// Handler answers a call. A nil answer with an error is told as such.
type Handler func(from Caller, path string, body []byte) ([]byte, error)

// Server answers calls.
type Server struct {
	Cluster   string
	ClusterID func() uint64          // the cluster's number, 0 while it is not known
	IsMember  func(name string) bool // members
	Handle    Handler
	Counts    *Counts

	mu    sync.Mutex
	rates map[string]*rate.Limiter
	ln    net.Listener
	http  *fasthttp.Server
}

// Start listens at an address, for at most so many connections.
func (s *Server) Start(addr string, conns int) error {
	s.rates = map[string]*rate.Limiter{}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("key peers.listen: %w", err)
	}
	s.ln = ln
	s.http = &fasthttp.Server{
		Handler: s.serve, Concurrency: conns, ReadTimeout: callTime, WriteTimeout: callTime, IdleTimeout: idleTime, ReadBufferSize: 4 << 10,
		MaxRequestBodySize: largeCall, NoDefaultServerHeader: true, NoDefaultDate: true, CloseOnShutdown: true, Logger: front.DiscardLogger{},
		HeaderReceived: func(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
			if path := string(h.RequestURI()); path == RaftPath || path == ReadingPath {
				return fasthttp.RequestConfig{}
			}
			return fasthttp.RequestConfig{MaxRequestBodySize: smallCall}
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

// Close stops answering.
func (s *Server) Close() {
	_ = s.ln.Close() // what is still open ends with the process
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
		s.turnAway(ctx, Malformed, from.Name, "not a call of this program", fasthttp.StatusBadRequest)
	case name != s.Cluster:
		s.turnAway(ctx, OtherCluster, from.Name, fmt.Sprintf("of cluster %q, this is %q", name, s.Cluster), fasthttp.StatusForbidden)
	case id != 0 && own != 0 && id != own:
		s.turnAway(ctx, OtherCluster, from.Name, fmt.Sprintf("of cluster number %x, this is %x: a cluster of the same name that was founded apart", id, own), fasthttp.StatusForbidden)
	case !s.IsMember(from.Name):
		s.turnAway(ctx, NotMember, from.Name, "neither a voter nor among agree.others", fasthttp.StatusForbidden)
	case !s.limiter(from.Name).Allow():
		s.turnAway(ctx, RateLimited, from.Name, "more than its share of calls", fasthttp.StatusTooManyRequests)
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

func (s *Server) turnAway(ctx *fasthttp.RequestCtx, cause, who, text string, status int) {
	s.Counts.RecordDrop(cause, who, text)
	ctx.Error(text, status)
}

func (s *Server) limiter(name string) *rate.Limiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.rates[name] // names are those of members, so there are only so many
	if l == nil {
		l = rate.NewLimiter(rateUsual, rateUsual)
		s.rates[name] = l
	}
	return l
}

// ErrRemote is an error that the other side has told.
var ErrRemote = errors.New("")

// Link leads to one dispatcher.
type Link struct {
	addr    string
	cluster string
	member  string
	id      func() uint64
	counts  *Counts
	client  *fasthttp.HostClient
	heard   atomic.Bool
}

// Answered tells whether the other side has ever answered.
func (l *Link) Answered() bool { return l.heard.Load() }

const linkConns = 4 // at once to one dispatcher

// NewLink makes a link to an address, over which a member of a cluster speaks.
func NewLink(addr, cluster, member string, id func() uint64, counts *Counts) *Link {
	return &Link{addr: addr, cluster: cluster, member: member, id: id, counts: counts, client: &fasthttp.HostClient{
		Addr: addr, MaxConns: linkConns, MaxIdleConnDuration: idleTime / 2, MaxResponseBodySize: answerMost, NoDefaultUserAgentHeader: true,
		Dial:                      func(addr string) (net.Conn, error) { return net.DialTimeout("tcp", addr, time.Second) },
		MaxIdemponentCallAttempts: 1,
	}}
}

// Call says something and gives the answer, or an error if it takes longer than limit. Whether it was heard is then not
// known.
func (l *Link) Call(path string, body []byte, limit time.Duration) ([]byte, error) {
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
	req.SetTimeout(limit)
	if err := l.client.Do(req, resp); err != nil {
		return nil, fmt.Errorf("%s%s: %w", l.addr, path, err)
	}
	l.heard.Store(true)
	l.counts.BytesIn.Add(int64(len(resp.Body())))
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, fmt.Errorf("%w%s", ErrRemote, resp.Body())
	}
	return slices.Clone(resp.Body()), nil
}

// Close lets go of connections that are idle.
func (l *Link) Close() { l.client.CloseIdleConnections() }
