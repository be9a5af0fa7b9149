package standin

import (
	"io"
	"net"
	"time"
)

// StartResetProxy starts a proxy before an address. It resets each connection, on both sides, a time
// after it was opened, as a broken path between client and dispatcher does.
func StartResetProxy(to string, after time.Duration) (addr string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			u, err := net.Dial("tcp", to)
			if err != nil {
				c.Close()
				continue
			}
			go io.Copy(u, c)
			go io.Copy(c, u)
			time.AfterFunc(after, func() {
				for _, x := range []net.Conn{c, u} {
					x.(*net.TCPConn).SetLinger(0)
					x.Close()
				}
			})
		}
	}()
	return ln.Addr().String(), nil
}
