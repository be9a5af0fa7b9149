package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"standpulley/internal/fake"
)

// slowServer is a server that takes what is sent to it in pieces of the given size, with a pause behind
// each. Its small segments and window make the sender wait, as on a real network.
type slowServer struct {
	piece int // bytes; 0: nothing at all
	pause time.Duration
	// answer answers the first request of the server, whose connection is kept; nil: none.
	answer string
}

// listen starts the server and returns its address.
func (s slowServer) listen(t *testing.T) string {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 536)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
		})
	}}
	ln, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop); _ = ln.Close() })
	go func() {
		for first := true; ; {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			answers := first && s.answer != ""
			first = false
			go s.serve(c, answers, stop)
		}
	}()
	return ln.Addr().String()
}

func (s slowServer) serve(c net.Conn, answers bool, stop <-chan struct{}) {
	defer c.Close()
	br := bufio.NewReader(c)
	if answers {
		if req, err := http.ReadRequest(br); err == nil {
			_, _ = io.Copy(io.Discard, req.Body) // the client sees what is missing
			_, _ = io.WriteString(c, s.answer)
		}
	}
	for err := error(nil); err == nil; {
		_, err = io.CopyN(io.Discard, br, int64(s.piece))
		select {
		case <-stop:
			return
		case <-time.After(s.pause):
		}
	}
}

// TestAnswerComesInTimeThoughReplicaReadsSlowly guards against a final answer that comes after its
// time, as a large request is still being written to a replica that reads slowly, over a new
// connection or over a kept one.
func TestAnswerComesInTimeThoughReplicaReadsSlowly(t *testing.T) {
	const timeout, slack = 2 * time.Second, 500 * time.Millisecond
	sound := "data: {\"choices\":[]}\n\n"
	firstAnswers := map[string]string{
		"reader": "HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}",
		"writer": fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(sound), sound),
	}
	for _, server := range []slowServer{{piece: 2 << 10, pause: 100 * time.Millisecond}, {piece: 200, pause: 100 * time.Millisecond},
		{piece: 64 << 10, pause: 900 * time.Millisecond}, {pause: time.Minute}} {
		for _, class := range []string{"enquiry", "instruction"} {
			for kind, other := range map[string]string{"reader": "writer", "writer": "reader"} {
				for _, kept := range []bool{false, true} {
					t.Run(fmt.Sprintf("%d bytes, %s %s, kept %v", server.piece, kind, class, kept), func(t *testing.T) {
						t.Parallel()
						_, e := startReplica(t, other, other, map[string]func(*fake.Exchange){"reader": readAtOnce, "writer": writeShort}[other])
						server := server
						if kept {
							server.answer = firstAnswers[kind]
						}
						slow := fake.Entry{ID: "slow", Addr: server.listen(t), Zone: "z", Kind: kind, State: "in_service", Weight: 1}
						p := startLimited(t, leastMemoryMB, mostDescriptors, e, slow)
						c := dial(t, p.file.Listen)
						if kept {
							_, _ = io.WriteString(c, platformRequest(1, class, "", 2)) // the read reports an error
							if status, answer, err := readResponse(t, c); err != nil || status != http.StatusOK {
								t.Fatalf("first request: %d %q %v", status, answer, err)
							}
							time.Sleep(100 * time.Millisecond) // from then on the program uses the connection again
						}
						began := time.Now()
						_, _ = io.WriteString(c, strings.Replace(platformRequest(2, class, "", largestBody), "6000m", "2000m", 1))
						status, answer, err := readResponse(t, c)
						if took := time.Since(began); err != nil || status < 500 || took > timeout+slack {
							t.Errorf("%d %q %v after %v", status, answer, err, took)
						}
					})
				}
			}
		}
	}
}
