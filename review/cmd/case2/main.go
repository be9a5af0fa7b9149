// Command case2: a broken file, in which a class lacks its key_scope, comes with a SIGHUP. Instructions
// whose repeats the replicas of one zone throw away follow; some connections are reset under them.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"review/standin"
)

const (
	instructions = 24
	resetEvery   = 4 // the connection of each fourth instruction is reset under its first run
	firstToken   = 100 * time.Millisecond
)

func main() { standin.Main(run) }

const idStart = "9b1f03aa5c7e"

// isReset reports whether the connection is reset under the first run of a request.
func isReset(id string) bool {
	var i int
	_, _ = fmt.Sscanf(strings.TrimPrefix(id, idStart), "%x", &i)
	return i%resetEvery == 0
}

// zones is what the replicas of each zone have run: they throw away repeats of a request that came to
// their zone before.
type zones struct {
	mu  sync.Mutex
	ran map[string][]string // zones in which a request ran, by id
}

// begin reports whether a request runs in a zone, or is a repeat there.
func (z *zones) begin(id, zone string) (runs bool, before int) {
	z.mu.Lock()
	defer z.mu.Unlock()
	before = len(z.ran[id])
	for _, x := range z.ran[id] {
		if x == zone {
			return false, before
		}
	}
	z.ran[id] = append(z.ran[id], zone)
	return true, before
}

func run(root, dir string, rec *standin.Record, trouble bool) (broken int, err error) {
	done := &zones{ran: map[string][]string{}}
	fleet := &standin.Fleet{Record: rec, ReadTime: 30 * time.Millisecond}
	fleet.Write = func(c standin.Call, w *standin.Stream) {
		runs, before := done.begin(c.ID, c.Replica.Zone)
		if runs {
			rec.Add("%s in %s: runs %s (runs before: %d)", c.Replica.ID, c.Replica.Zone, c.ID, before)
		} else {
			rec.Add("%s in %s: throws a repeat of %s away and answers it", c.Replica.ID, c.Replica.Zone, c.ID)
		}
		if before == 0 && isReset(c.ID) {
			rec.Add("%s: connection reset under %s", c.Replica.ID, c.ID)
			w.Reset()
			return
		}
		time.Sleep(firstToken)
		w.Head()
		w.Token("done ")
		w.End()
	}
	names := []string{"half-way-tree", "new-kingston"}
	for cell, zone := range names {
		for i, kind := range []string{"prompt-box", "prompt-box", "answer-box"} {
			if _, err := fleet.Add(fmt.Sprintf("%s-%s-%d", kind, zone, i+1), kind, zone, cell+1); err != nil {
				return 0, err
			}
		}
	}
	agent, err := standin.StartAgent(fleet.List())
	if err != nil {
		return 0, err
	}
	listen, operator := standin.FreeAddr(), standin.FreeAddr()
	settings := standin.Settings()
	instruction := standin.Instruction()
	instruction["repeat"], instruction["key_scope"], instruction["window_us"] = "deduplicated", "zone", 5000000
	settings["services"] = []standin.Map{standin.Enquiry(), instruction}
	config := standin.Map{"name": "n1", "listen": listen, "operator": operator, "discovery": agent.Addr, "seed": "8c1f30d27a5be964",
		"limits": standin.Map{"cores": 1, "memory_mb": 192, "sockets": 1024}, "settings": settings}
	file := filepath.Join(dir, "config.json")
	if err := standin.WriteJSON(file, config); err != nil {
		return 0, err
	}
	d, err := standin.StartDispatcher(root, dir, "n1", file, "EDGE_LISTEN="+listen, "EDGE_DISCOVERY="+agent.Addr)
	if err != nil {
		return 0, err
	}
	defer d.Kill()
	if err := standin.AwaitReady(listen, 30*time.Second); err != nil {
		return 0, err
	}
	time.Sleep(1200 * time.Millisecond) // no SIGHUP comes in the first second

	if trouble {
		delete(instruction, "key_scope")
		if err := standin.WriteJSON(file, config); err != nil {
			return 0, err
		}
		if err := d.Signal(syscall.SIGHUP); err != nil {
			return 0, err
		}
		rec.Add("SIGHUP: the file lacks services[1].key_scope")
	}
	time.Sleep(1500 * time.Millisecond)
	rec.Add("figures: %s", figures(operator))

	var clients sync.WaitGroup
	for i := range instructions {
		id := fmt.Sprintf("%s%04x", idStart, i)
		clients.Go(func() {
			status, err := ask(listen, id)
			rec.Add("client: %s: status %d, error %v", id, status, err)
		})
		time.Sleep(100 * time.Millisecond)
	}
	clients.Wait()
	if d.Ended() {
		return 0, fmt.Errorf("the dispatcher has ended")
	}
	done.mu.Lock()
	defer done.mu.Unlock()
	for id, in := range done.ran {
		if len(in) > 1 {
			rec.Add("%s ran %d times: in %s", id, len(in), strings.Join(in, " and "))
			broken++
		}
	}
	return broken, nil
}

// figures returns the counts of files taken and turned down.
func figures(operator string) string {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + operator + "/-/metrics")
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	var all []string
	for _, line := range strings.Split(string(text), "\n") {
		if strings.HasPrefix(line, "edge.sighup") {
			all = append(all, line)
		}
	}
	return strings.Join(all, " ")
}

// ask sends an instruction and reads the answer to its end.
func ask(addr, id string) (status int, err error) {
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(12 * time.Second))
	body := `{"model":"chat","stream":true,"messages":[{"role":"user","content":"pay the light bill"}]}`
	if _, err := fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: %s\r\nX-Qos: instruction\r\nX-Expires-In: 10000m\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body); err != nil {
		return 0, err
	}
	status, _, err = standin.ReadAnswer(bufio.NewReader(c))
	return status, err
}
