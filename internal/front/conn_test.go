package front

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"
)

// connPair returns both ends of a client connection that was admitted by a limiter.
func connPair(t *testing.T) (client net.Conn, c *Conn) {
	t.Helper()
	clientConns, serverConns := dialAndSend(t, 1, "")
	return clientConns[0], NewConnLimiter(1, 1).admit(serverConns[0])
}

// The deadline of a connection expires just as a request arrives. On an idle connection the request
// is read; if a request had already begun to arrive, the deadline holds.
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
			t.Errorf("a request that is arriving: %d bytes, %v", n, err)
		}
		if !began && string(text[:n]) != "POST" {
			t.Errorf("an idle connection: %q, %v", text[:n], err)
		}
	}
}
