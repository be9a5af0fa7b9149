package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"review/standin"
	"strings"
	"syscall"
	"time"
)

func req(id, class, extra, body string) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Object: 7f3a9c21e0b4d655\r\nX-Expires-In: 4800m\r\n%sContent-Length: %d\r\n\r\n%s", id, class, extra, len(body), body)
}

func main() {
	root, dir := os.Args[1], os.Args[2]
	rec, _ := standin.NewRecord(dir + "/record.txt")
	f := &standin.Fleet{Record: rec, ReadTime: 20 * time.Millisecond}
	wait := 50 * time.Millisecond
	f.Write = func(c standin.Call, w *standin.Stream) {
		time.Sleep(wait)
		rec.Add("%s runs %s", c.Replica.ID, c.ID)
		w.Head()
		w.Token("ok " + c.ID)
		w.End()
	}
	for i := range 3 {
		f.Add(fmt.Sprint("r", i), "prompt-box", "half-way-tree", 1)
		f.Add(fmt.Sprint("w", i), "answer-box", "half-way-tree", 1)
	}
	a, _ := standin.StartAgent(f.List())
	listen := standin.FreeAddr()
	op := standin.FreeAddr()
	cfg := standin.Map{"name": "n1", "listen": listen, "operator": op, "discovery": a.Addr, "limits": standin.Map{"cores": 1, "memory_mb": 192, "sockets": 1024}, "settings": standin.Settings()}
	standin.WriteJSON(dir+"/config.json", cfg)
	d, err := standin.StartDispatcher(root, dir, "n1", dir+"/config.json", "EDGE_LISTEN="+listen, "EDGE_DISCOVERY="+a.Addr)
	if err != nil {
		panic(err)
	}
	defer d.Kill()
	fmt.Println(standin.AwaitReady(listen, 10*time.Second))
	one := func(name, text string, half bool) {
		c, err := net.Dial("tcp", listen)
		if err != nil {
			fmt.Println(err)
			return
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(7 * time.Second))
		c.Write([]byte(text))
		if half {
			c.(*net.TCPConn).CloseWrite()
		}
		br := bufio.NewReader(c)
		for {
			s, b, err := standin.ReadAnswer(br)
			fmt.Printf("%s: %d %.80q %v\n", name, s, b, err)
			if err != nil {
				return
			}
		}
	}
	switch os.Args[3] {
	case "half":
		one("normal+close", req("aaaa0001", "instruction", "Connection: close\r\n", "{}"), false)
		one("half normal", req("aaaa0002", "instruction", "", "{}"), true)
		one("half bad class", req("aaaa0003", "nosuch", "", "{}"), true)
		one("half no id", strings.Replace(req("aaaa0004", "instruction", "", "{}"), "X-Trace-Id: aaaa0004\r\n", "", 1), true)
		one("half body", req("aaaa0005", "instruction", "", "{}")[:len(req("aaaa0005", "instruction", "", "{}"))-1], true)
		one("half ready", "GET /-/ready HTTP/1.1\r\nHost: b\r\n\r\n", true)
		one("half nonsense path", "GET /x HTTP/1.1\r\nHost: b\r\n\r\n", true)
	case "pipe":
		wait = 800 * time.Millisecond
		text := req("bbbb0001", "instruction", "", "{}") + req("bbbb0002", "enquiry", "", "{}") + req("bbbb0003", "enquiry", "", "{}")
		go one("pipelined", text, false)
		go one("single", req("bbbb0009", "enquiry", "", "{}"), false)
		time.Sleep(300 * time.Millisecond)
		if len(os.Args) > 4 {
			d.Signal(syscall.SIGTERM)
		}
		time.Sleep(4 * time.Second)
	case "smuggle":
		inner := req("cccc0009", "instruction", "", "{}")
		for i, h := range []string{"Content-Length : 3\r\n", "Content-Length\t: 3\r\n", " Content-Length: 3\r\n", "Transfer-Encoding : chunked\r\n", "Transfer-Encoding:\tchunked\r\n", "transfer-encoding: Chunked\r\n", "Transfer-Encoding: chunked, chunked\r\n", "Transfer-Encoding: \x0bchunked\r\n", "X: y\rTransfer-Encoding: chunked\r\n", "X: y\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding: identity\r\n", "Transfer-Encoding:\r\n chunked\r\n", "Transfer-Encoding: xchunked\r\n", "Content-Length: +2\r\n", "Content-Length: 2, 2\r\n"} {
			body := "0\r\n\r\n" + inner
			one(fmt.Sprintf("%d %q", i, h), req(fmt.Sprintf("cccc%04d", 10+i), "enquiry", h, body), false)
		}
	}
	t, _ := os.ReadFile(dir + "/record.txt")
	fmt.Print(string(t))
}
