package front

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"
)

// pair gives both ends of a client's connection that has passed a gate.
func connPair(t *testing.T) (client net.Conn, c *Conn) {
	t.Helper()
	clientConns, serverConns := dialAndSend(t, 1, "")
	return clientConns[0], NewConnLimiter(1, 1).admit(serverConns[0])
}

// The time of a connection is over just as a request comes: on a resting one it has come, and is read; where a request has begun to come, it
// keeps to its time.
func TestRequestArrivingAtIdleTimeout(t *testing.T) {
	for _, began := range []bool{false, true} {
		client, c := connPair(t)
		if began {
			c.markIdle(true)
		}
		if _, err := client.Write([]byte("POST")); err != nil {
			t.Fatal(err)
		}
		if err := c.SetReadDeadline(time.Now().Add(-time.Second)); err != nil {
			t.Fatal(err)
		}
		text := make([]byte, 4)
		n, err := 0, error(nil)
		for end := time.Now().Add(5 * time.Second); n == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
			if n, err = c.Read(text); began {
				break
			}
		}
		if began && (n > 0 || !errors.Is(err, os.ErrDeadlineExceeded)) {
			t.Errorf("one that is coming: %d bytes, %v", n, err)
		}
		if !began && string(text[:n]) != "POST" {
			t.Errorf("one that rests: %q, %v", text[:n], err)
		}
	}
}
