package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"standpulley/internal/fake"
)

// holdingFleet starts replicas whose writers begin no answer before hold has passed or the
// connection ends, and counts the requests that reach writers.
func holdingFleet(t *testing.T, hold time.Duration) (list []fake.Entry, written *atomic.Int64) {
	t.Helper()
	written = &atomic.Int64{}
	list, _ = startReplicas(t, readAtOnce, func(x *fake.Exchange) {
		written.Add(1)
		if !x.WaitClosedFor(hold) {
			x.Answer("done")
		}
	})
	return list, written
}

// leave sends a request, waits until it has reached a writer and closes the connection.
func leave(t *testing.T, c net.Conn, text string, written *atomic.Int64) {
	t.Helper()
	before := written.Load()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the send to a writer", func() bool { return written.Load() > before })
	_ = c.Close()
	time.Sleep(200 * time.Millisecond) // the close is noticed and the attempt has ended
}

// TestIDRunsOnceAfterItsClientHasLeft guards against an instruction that runs twice, as its id comes
// again after its client has left. One that is safe to repeat is served again.
func TestIDRunsOnceAfterItsClientHasLeft(t *testing.T) {
	for class, again := range map[string]int{"instruction": 502, "enquiry": 200} {
		list, written := holdingFleet(t, time.Second)
		p := startLimited(t, leastMemoryMB, mostDescriptors, list...)
		text := platformRequest(1, class, "", 2)
		leave(t, dial(t, p.file.Listen), text, written)
		status, answer, err := readResponse(t, sendText(t, p.file.Listen, text))
		if err != nil || status != again {
			t.Errorf("%s again: %d %q %v, want %d", class, status, answer, err, again)
		}
		if n := written.Load(); class == "instruction" && n != 1 {
			t.Errorf("the instruction was sent to writers %d times", n)
		}
	}
}

// TestIDMayComeAgainIfItDidNotRun guards against an id that stays claimed though its request was
// refused: the refusal has promised that it may be tried again.
func TestIDMayComeAgainIfItDidNotRun(t *testing.T) {
	var full atomic.Bool
	full.Store(true)
	list, _ := startReplicas(t, func(x *fake.Exchange) {
		if full.Load() {
			x.Status(503, true, "")
		} else {
			x.Read(0)
		}
	}, writeShort)
	p := startLimited(t, leastMemoryMB, mostDescriptors, list...)
	text := platformRequest(1, "instruction", "", 2)
	if status, _, err := readResponse(t, sendText(t, p.file.Listen, text)); err != nil || status != 503 {
		t.Fatalf("%d %v, want a refusal", status, err)
	}
	full.Store(false)
	waitFor(t, "the request to be served", func() bool {
		status, answer, err := readResponse(t, sendText(t, p.file.Listen, text))
		if err != nil || status != 200 && status != 503 {
			t.Fatalf("again: %d %q %v", status, answer, err)
		}
		return status == 200
	})
}

// TestIDRunsOnceAcrossAnUpgrade guards against an instruction that runs at the old process and, under
// the same id, at the new version beside it: open at the old one, or after its client has left.
func TestIDRunsOnceAcrossAnUpgrade(t *testing.T) {
	list, written := holdingFleet(t, 2*time.Second)
	old := startLimited(t, leastMemoryMB, mostDescriptors, list...)
	conns := [2]net.Conn{dial(t, old.file.Listen), dial(t, old.file.Listen)}
	for _, c := range conns { // both connections are the old process's
		_, _ = io.WriteString(c, "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n") // the next line reports an error
		_, _ = io.ReadAtLeast(c, make([]byte, 1024), 12)
	}
	next := startDeployed(t, old.file, old.env)
	leave(t, conns[0], platformRequest(1, "instruction", "", 2), written)
	if _, err := io.WriteString(conns[1], platformRequest(2, "instruction", "", 2)); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the second request at a writer", func() bool { return written.Load() == 2 })
	if err := old.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second) // the old process has closed its address
	for n := 1; n <= 2; n++ {
		status, answer, err := readResponse(t, sendText(t, next.file.Listen, platformRequest(n, "instruction", "", 2)))
		if err != nil || status != 502 {
			t.Errorf("request %d at the new process: %d %q %v, want 502", n, status, answer, err)
		}
	}
	if n := written.Load(); n != 2 {
		t.Errorf("2 instructions were sent to writers %d times", n)
	}
	if status, answer, err := readResponse(t, sendText(t, next.file.Listen, platformRequest(3, "instruction", "", 2))); err != nil || status != 200 {
		t.Errorf("another instruction at the new process: %d %q %v", status, answer, err)
	}
	for _, p := range []*limitedProgram{old, next} {
		if strings.Contains(p.out.String(), "ids are not shared") {
			t.Errorf("the two processes do not share a table: %s", p.out)
		}
	}
}

// TestKeyRunsOnceAcrossAnUpgrade guards against an instruction of the chat API that runs at the old
// process and, under the same Idempotency-Key, at the new version beside it.
func TestKeyRunsOnceAcrossAnUpgrade(t *testing.T) {
	list, written := holdingFleet(t, 2*time.Second)
	old := startLimited(t, leastMemoryMB, mostDescriptors, list...)
	body := `{"model":"act","messages":[{"role":"user","content":"pay"}]}`
	instruction := func(key string) string {
		return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n\r\n%s", key, len(body), body)
	}
	leave(t, dial(t, old.file.Chat.Listen), instruction("one"), written)
	next := startDeployed(t, old.file, old.env)
	if err := old.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second) // the old process has closed its address
	for key, want := range map[string]int{"one": 424, "two": 200} {
		if status, answer, err := readResponse(t, sendText(t, next.file.Chat.Listen, instruction(key))); err != nil || status != want {
			t.Errorf("key %s at the new process: %d %q %v, want %d", key, status, answer, err, want)
		}
	}
	if n := written.Load(); n != 2 {
		t.Errorf("2 instructions were sent to writers %d times", n)
	}
}
