package peers

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// Calls from another cluster or from an unknown sender, calls that are too large or too frequent,
// and malformed ones must be dropped and counted by cause, and none of them may reach the handler.
func TestOnlyCallsOfMembersAreHandled(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	_ = ln.Close()
	handled := 0
	id := func(n uint64) func() uint64 { return func() uint64 { return n } }
	s := &Server{Cluster: "one", ClusterID: id(7), IsMember: func(name string) bool { return name == "a" }, Counts: &Counts{},
		Handle: func(from Caller, path string, body []byte) ([]byte, error) {
			handled++
			if path == "/fail" {
				return nil, errors.New("handler failed")
			}
			return append([]byte(path+" "), body...), nil
		}}
	if err := s.Start(addr, 16); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	link := func(cluster, member string, n uint64) *Link { return NewLink(addr, cluster, member, id(n), &Counts{}) }
	good := link("one", "a", 7)
	if text, err := good.Call("/x", []byte("hi"), time.Second); string(text) != "/x hi" || err != nil {
		t.Fatalf("answer %q, error %v", text, err)
	}
	if _, err := good.Call("/fail", nil, time.Second); err == nil || !strings.Contains(err.Error(), "handler failed") {
		t.Errorf("error of the handler is lost: %v", err)
	}
	if _, err := link("one", "a", 0).Call("/x", nil, time.Second); err != nil {
		t.Errorf("a new member that does not know the number of the cluster yet: %v", err)
	}
	before := handled
	for cause, call := range map[string]func() error{
		OtherCluster: func() error {
			_, err := link("one", "a", 8).Call("/x", nil, time.Second)
			if _, other := link("two", "a", 7).Call("/x", nil, time.Second); other == nil {
				return nil
			}
			return err
		},
		NotMember: func() error { _, err := link("one", "b", 7).Call("/x", nil, time.Second); return err },
		TooLarge:  func() error { _, err := good.Call("/x", make([]byte, maxCall+1), time.Second); return err },
		Malformed: func() error {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				return nil
			}
			defer c.Close()
			_, _ = io.WriteString(c, "GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
			b := make([]byte, 12)
			_, _ = io.ReadFull(c, b)
			if string(b) != "HTTP/1.1 400" {
				return nil
			}
			return errors.New("rejected")
		},
	} {
		if call() == nil || s.Counts.Dropped()[cause] == 0 {
			t.Errorf("%s: accepted; drops: %v", cause, s.Counts.Dropped())
		}
	}
	if handled != before {
		t.Errorf("%d calls reached the handler", handled-before)
	}
	var last error
	for range 2 * callRate {
		if _, last = good.Call("/x", nil, time.Second); last != nil {
			break
		}
	}
	if last == nil || s.Counts.Dropped()[RateLimited] == 0 {
		t.Errorf("calls beyond the rate limit were accepted: %v", last)
	}
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer unresponsive.Close()
	start := time.Now()
	if _, err := NewLink(unresponsive.Addr().String(), "one", "a", id(7), &Counts{}).Call("/x", nil, 100*time.Millisecond); err == nil || time.Since(start) > 5*time.Second {
		t.Errorf("call to a dispatcher that does not answer: error %v after %v", err, time.Since(start))
	}
}
