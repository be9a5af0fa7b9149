// Command case2: usual clients send instructions and enquiries, and for a moment a crowd of chat clients
// sends one long conversation each, at once. The platform's stand-in kills the dispatcher when its memory
// is over memory_mb.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"review/standin"
)

const (
	memoryMB   = 96
	sockets    = 512
	crowd      = 150 // under a third of the descriptors, together with the usual clients
	crowdTries = 6
	bodyBytes  = 250000 // a body holds 256 KiB at most
	usualEach  = 150 * time.Millisecond
	deadline   = 10 * time.Second // of an instruction
	late       = 500 * time.Millisecond
)

func main() { standin.Main(run) }

func run(root, dir string, rec *standin.Record, trouble bool) (broken int, err error) {
	fleet := &standin.Fleet{ReadTime: 100 * time.Millisecond}
	if fleet.Record, err = standin.NewRecord(filepath.Join(dir, "fleet.txt")); err != nil {
		return 0, err
	}
	fleet.Write = func(c standin.Call, w *standin.Stream) {
		time.Sleep(100 * time.Millisecond)
		w.Head()
		for range 10 {
			w.Token("word ")
			time.Sleep(60 * time.Millisecond)
		}
		w.End()
	}
	for i := range 4 {
		for _, kind := range []string{"prompt-box", "answer-box"} {
			if _, err := fleet.Add(fmt.Sprintf("%s-%d", kind, i+1), kind, "half-way-tree", 1); err != nil {
				return 0, err
			}
		}
	}
	agent, err := standin.StartAgent(fleet.List())
	if err != nil {
		return 0, err
	}
	listen, chat := standin.FreeAddr(), standin.FreeAddr()
	file := filepath.Join(dir, "config.json")
	if err := standin.WriteJSON(file, standin.Map{"name": "n1", "listen": listen, "discovery": agent.Addr, "seed": "8c1f30d27a5be964",
		"limits":   standin.Map{"cores": 1, "memory_mb": memoryMB, "sockets": sockets},
		"chat":     standin.Map{"listen": chat, "models": standin.Map{"assistant": "enquiry", "assistant-act": "instruction"}, "max_output": 500},
		"settings": standin.Settings()}); err != nil {
		return 0, err
	}
	d, err := standin.StartDispatcher(root, dir, "n1", file, "EDGE_LISTEN="+listen, "EDGE_DISCOVERY="+agent.Addr)
	if err != nil {
		return 0, err
	}
	defer d.Kill()
	for _, addr := range []string{listen, chat} {
		if err := standin.AwaitReady(addr, 30*time.Second); err != nil {
			return 0, err
		}
	}

	stop := make(chan struct{})
	var limiter sync.WaitGroup
	most, killed := 0, false
	limiter.Go(func() { most, killed = enforceMemory(d, rec, stop) })

	var mu sync.Mutex
	counts := map[string]int{}
	count := func(what string) { mu.Lock(); counts[what]++; mu.Unlock() }
	lost := 0
	var clients sync.WaitGroup
	usual := func(n int) {
		clients.Go(func() {
			id, class := fmt.Sprintf("9b1f03aa%08x", n), "enquiry"
			if n%2 == 1 {
				class = "instruction"
			}
			status, took, err := ask(listen, fmt.Sprintf("X-Trace-Id: %s\r\nX-Qos: %s\r\nX-Expires-In: %dm\r\n", id, class, deadline.Milliseconds()),
				[]byte(`{"model":"chat","stream":true,"messages":[{"role":"user","content":"has the salary landed?"}]}`))
			rec.Add("usual client: %s %s: status %d after %v, %v", class, id, status, took.Round(time.Millisecond), err)
			switch {
			case err == errNotTaken:
				count("usual: not taken")
			case err != nil || status == 0 || took > deadline+late+2*time.Second:
				count("usual: taken and not answered, or cut off")
				mu.Lock()
				lost++
				mu.Unlock()
			default:
				count(fmt.Sprint("usual: answered ", status))
			}
		})
	}
	n := 0
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(usualEach) {
		usual(n)
		n++
	}
	if trouble {
		body := conversation()
		rec.Add("%d chat clients send a conversation of %d bytes each, at once", crowd, len(body))
		for range crowd {
			clients.Go(func() {
				for range crowdTries { // the same request again as soon as it is turned away
					status, _, err := ask(chat, "Content-Type: application/json\r\n", body)
					if err != nil && err != errNotTaken {
						status = 0
					}
					count(fmt.Sprintf("crowd: status %d", status))
					if status != 503 {
						return
					}
				}
			})
		}
	}
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end) && !d.Ended(); time.Sleep(usualEach) {
		usual(n)
		n++
	}
	clients.Wait()
	close(stop)
	limiter.Wait()
	for what, n := range counts {
		rec.Add("%s: %d", what, n)
	}
	rec.Add("most memory: %d MB of %d MB; killed by the platform: %v; usual requests lost: %d", most>>20, memoryMB, killed, lost)
	if !killed && d.Ended() {
		rec.Add("the dispatcher ended by itself")
		lost++
	}
	if killed {
		lost++ // the crash itself
	}
	return lost, nil
}

// conversation is a chat request with many short turns.
func conversation() []byte {
	var b bytes.Buffer
	b.WriteString(`{"model":"assistant","stream":true,"messages":[{"role":"system","content":"You help members."}`)
	for b.Len() < bodyBytes {
		b.WriteString(`,{"role":"user","content":"go on"}`)
	}
	b.WriteString(`,{"role":"user","content":"has the salary landed?"}]}`)
	return b.Bytes()
}

var errNotTaken = fmt.Errorf("the dispatcher did not take the request")

// ask sends one request on a connection of its own and reads the answer to its end. The error is
// errNotTaken if the connection failed before the request's last byte was written.
func ask(addr, header string, body []byte) (status int, took time.Duration, err error) {
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return 0, 0, errNotTaken
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\n%sContent-Length: %d\r\n\r\n%s", header, len(body), body); err != nil {
		return 0, 0, errNotTaken
	}
	sent := time.Now()
	br := bufio.NewReader(c)
	if _, err := br.Peek(1); err != nil {
		return 0, time.Since(sent), err
	}
	took = time.Since(sent)
	status, _, err = standin.ReadAnswer(br)
	return status, took, err
}

// enforceMemory kills the dispatcher when its own memory (without pages of files) is over the limit, as
// the platform does. It returns the most that was seen.
func enforceMemory(d *standin.Dispatcher, rec *standin.Record, stop <-chan struct{}) (most int, killed bool) {
	for {
		select {
		case <-stop:
			return most, false
		case <-time.After(5 * time.Millisecond):
		}
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.Pid()))
		if err != nil {
			continue
		}
		_, rest, _ := strings.Cut(string(text), "RssAnon:")
		var kb int
		_, _ = fmt.Sscan(rest, &kb)
		most = max(most, kb<<10)
		if kb<<10 > memoryMB<<20 && !d.Ended() {
			rec.Add("the dispatcher holds %d MB, over its %d MB: the platform kills it", kb>>10, memoryMB)
			d.Kill()
			return most, true
		}
	}
}
