package standin

import (
	"net"
	"strconv"
	"sync"
	"time"

	jsoniter "github.com/json-iterator/go"
	"github.com/valyala/fasthttp"
)

// Entry is one replica as discovery lists it.
type Entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int64   `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// Agent is a discovery agent whose list is set by the story.
type Agent struct {
	Addr string

	ln      net.Listener
	mu      sync.Mutex
	version int
	list    []Entry
	changed chan struct{} // closed when the list changes
	asked   []string      // the queries so far
}

// StartAgent listens at addr.
func StartAgent(addr string, list ...Entry) (*Agent, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	a := &Agent{Addr: ln.Addr().String(), ln: ln, version: 1, list: list, changed: make(chan struct{})}
	go func() { _ = fasthttp.Serve(ln, a.serve) }() // ends with the listener
	return a, nil
}

// Close stops listening.
func (a *Agent) Close() { _ = a.ln.Close() }

// Set replaces the list; watches that wait are answered with the whole of it.
func (a *Agent) Set(list ...Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version++
	a.list = list
	close(a.changed)
	a.changed = make(chan struct{})
}

// Asked gives the queries so far.
func (a *Agent) Asked() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string(nil), a.asked...)
}

func (a *Agent) serve(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != "/api/targets" {
		ctx.Error("no such path", fasthttp.StatusNotFound)
		return
	}
	a.mu.Lock()
	a.asked = append(a.asked, string(ctx.QueryArgs().QueryString()))
	index, watch := 0, ctx.QueryArgs().Has("index")
	if watch {
		index, _ = strconv.Atoi(string(ctx.QueryArgs().Peek("index"))) // 0 is older than any list
	}
	changed := a.changed
	if watch && index >= a.version {
		a.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(ctx.QueryArgs().GetUintOrZero("wait")) * time.Millisecond):
		}
		a.mu.Lock()
	}
	reply := struct {
		Version int     `json:"version"`
		Full    bool    `json:"full"`
		Servers []Entry `json:"servers"`
	}{a.version, a.version > index, nil}
	if reply.Full {
		reply.Servers = a.list
	}
	a.mu.Unlock()
	text, err := jsoniter.Marshal(reply)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(text)
}
