package main

import (
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"standpulley/internal/fake"
)

// listenSlowly returns the address of a server that takes some 20 KB a second of what is sent to it.
// Its small segments and window make the sender wait, as on a real network.
func listenSlowly(t *testing.T) string {
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
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for err == nil {
					_, err = io.CopyN(io.Discard, c, 2<<10)
					time.Sleep(100 * time.Millisecond)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// TestAnswerComesInTimeThoughReplicaReadsSlowly guards against a final answer that comes after its
// time, as a large request is still being written to a replica that reads slowly.
func TestAnswerComesInTimeThoughReplicaReadsSlowly(t *testing.T) {
	const timeout, slack = 2 * time.Second, 500 * time.Millisecond
	for _, class := range []string{"enquiry", "instruction"} {
		for kind, other := range map[string]string{"reader": "writer", "writer": "reader"} {
			t.Run(kind+" "+class, func(t *testing.T) {
				t.Parallel()
				_, e := startReplica(t, other, other, map[string]func(*fake.Exchange){"reader": readAtOnce, "writer": writeShort}[other])
				slow := fake.Entry{ID: "slow", Addr: listenSlowly(t), Zone: "z", Kind: kind, State: "in_service", Weight: 1}
				p := startLimited(t, leastMemoryMB, mostDescriptors, e, slow)
				text := strings.Replace(platformRequest(1, class, "", largestBody), "6000m", "2000m", 1)
				began := time.Now()
				status, answer, err := readResponse(t, sendText(t, p.file.Listen, text))
				if took := time.Since(began); err != nil || status < 500 || took > timeout+slack {
					t.Errorf("%d %q %v after %v", status, answer, err, took)
				}
			})
		}
	}
}
