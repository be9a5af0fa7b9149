// Command case3: two new configurations in a row come while long prompts are read: the first adds a class
// and its model for chat clients, the second moves discovery. Then half of the writers begin to drain.
package main

import (
	"bufio"
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"review/standin"
)

const (
	requests  = 8
	tokens    = 25000           // of a prompt
	readTime  = 7 * time.Second // four such prompts at once at a reader, at some 14,000 tokens a second
	clientMS  = 12000           // 10 s, and twice 40 ms for each 1,000 tokens
	grace     = time.Second     // drain_grace_us
	slack     = 50 * time.Millisecond
	oldCloses = 1500 * time.Millisecond // the old discovery closes its connections after that
)

func main() { standin.Main(run) }

// drains is when the dispatcher was first told of the drain of each writer.
type drains struct {
	mu   sync.Mutex
	told map[string]time.Time
}

func (d *drains) hear(rec *standin.Record, list []standin.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range list {
		if _, known := d.told[e.ID]; !known && e.State == "terminating" {
			d.told[e.ID] = time.Now()
			rec.Add("the dispatcher is told that %s drains", e.ID)
		}
	}
}

func (d *drains) of(id string) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.told[id]
	return at, ok
}

func run(root, dir string, rec *standin.Record, trouble bool) (broken int, err error) {
	told := &drains{told: map[string]time.Time{}}
	var mu sync.Mutex
	fleet := &standin.Fleet{Record: rec, ReadTime: readTime}
	fleet.Write = func(c standin.Call, w *standin.Stream) {
		at, drains := told.of(c.Replica.ID)
		late := drains && c.Arrived.Sub(at) > grace+slack
		if late {
			mu.Lock()
			broken++
			mu.Unlock()
			rec.Add("%s: %s was sent to it %v after the dispatcher was told of its drain", c.Replica.ID, c.ID, c.Arrived.Sub(at).Round(time.Millisecond))
		}
		w.Head()
		w.Token("done ")
		w.End()
	}
	for i := range 4 {
		kinds := []string{"answer-box"}
		if i < 2 {
			kinds = append(kinds, "prompt-box")
		}
		for _, kind := range kinds {
			if _, err := fleet.Add(fmt.Sprintf("%s-%d", kind, i+1), kind, "half-way-tree", 1); err != nil {
				return 0, err
			}
		}
	}
	first, err := standin.StartAgent(fleet.List())
	if err != nil {
		return 0, err
	}
	second, err := standin.StartAgent(fleet.List())
	if err != nil {
		return 0, err
	}
	for _, a := range []*standin.Agent{first, second} {
		a.Told = func(list []standin.Entry) { told.hear(rec, list) }
	}
	listen, chat := standin.FreeAddr(), standin.FreeAddr()
	settings := standin.Settings()
	models := standin.Map{"assistant": "enquiry", "assistant-act": "instruction"}
	config := standin.Map{"name": "n1", "listen": listen, "discovery": first.Addr, "seed": "8c1f30d27a5be964",
		"limits": standin.Map{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"chat":   standin.Map{"listen": chat, "models": models, "max_output": 500}, "settings": settings}
	file := filepath.Join(dir, "config.json")
	if err := standin.WriteJSON(file, config); err != nil {
		return 0, err
	}
	d, err := standin.StartDispatcher(root, dir, "n1", file, "EDGE_LISTEN="+listen, "EDGE_DISCOVERY="+first.Addr)
	if err != nil {
		return 0, err
	}
	defer d.Kill()
	for _, addr := range []string{listen, chat} {
		if err := standin.AwaitReady(addr, 30*time.Second); err != nil {
			return 0, err
		}
	}
	time.Sleep(1200 * time.Millisecond) // no SIGHUP comes in the first second

	var clients sync.WaitGroup
	for i := range requests {
		clients.Go(func() { ask(rec, listen, fmt.Sprintf("9b1f03aa5c7e%04x", i)) })
	}
	time.Sleep(500 * time.Millisecond)
	register := first
	if trouble {
		settings["services"] = append(settings["services"].([]standin.Map), standin.Map{"name": "statement", "repeat": "idempotent",
			"key_scope": "all", "goal_time_us": 1500000, "deadline_us": 6000000, "window_us": 5000000, "credit": 1, "late_worth": 0.3, "stream": true})
		models["assistant-statement"] = "statement"
		if err := hup(d, file, config); err != nil {
			return 0, err
		}
		rec.Add("SIGHUP: a class and its model are added")
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		config["discovery"] = second.Addr
		if err := hup(d, file, config); err != nil {
			return 0, err
		}
		first.Retire(oldCloses)
		register = second
		rec.Add("SIGHUP: discovery moves")
	}
	time.Sleep(time.Second)
	list := fleet.List()
	for i := range list {
		if list[i].ID == "answer-box-1" || list[i].ID == "answer-box-2" {
			list[i].State = "terminating"
		}
	}
	register.Set(list)
	clients.Wait()
	if d.Ended() {
		return 0, fmt.Errorf("the dispatcher has ended")
	}
	if len(told.told) != 2 {
		return 0, fmt.Errorf("the dispatcher was told of %d drains", len(told.told))
	}
	return broken, nil
}

// hup puts a file in place and tells the program.
func hup(d *standin.Dispatcher, file string, config standin.Map) error {
	if err := standin.WriteJSON(file, config); err != nil {
		return err
	}
	return d.Signal(syscall.SIGHUP)
}

// ask sends an instruction with a long prompt and reads the answer to its end.
func ask(rec *standin.Record, addr, id string) {
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		rec.Add("client: %v", err)
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(15 * time.Second))
	body := `{"model":"chat","stream":true,"messages":[{"role":"user","content":"` + strings.Repeat("pay ", tokens-100) + `"}]}`
	fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: %s\r\nX-Qos: instruction\r\nX-Expires-In: %dm\r\nX-Props: prompt_len=%d,max_out=100\r\nContent-Length: %d\r\n\r\n%s", id, clientMS, tokens, len(body), body)
	status, _, err := standin.ReadAnswer(bufio.NewReader(c))
	rec.Add("client: %s: status %d, error %v", id, status, err)
}
