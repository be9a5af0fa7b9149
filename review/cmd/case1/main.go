// Command case1: chat clients drop instructions that run, or their connections break, and their library
// repeats each under the same Idempotency-Key. In between a new configuration comes into force, which adds a class and its model.
package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"review/standin"
)

const (
	firstToken = 800 * time.Millisecond // from the fetch of the state to the first event
	resetAfter = 500 * time.Millisecond
	tokens     = 20
	tokenTime  = 60 * time.Millisecond
	// Clients name a new class 1.2 s after SIGHUP; more is waited here.
	afterSIGHUP = 1500 * time.Millisecond
)

func main() { standin.Main(run) }

// runs counts at the writers how often each instruction was carried out, by its Idempotency-Key.
type runs struct {
	mu sync.Mutex
	of map[string]int
}

func (r *runs) add(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.of[key]++
	return r.of[key]
}

func (r *runs) get(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.of[key]
}

func run(root, dir string, rec *standin.Record, trouble bool) (broken int, err error) {
	done := &runs{of: map[string]int{}}
	fleet := &standin.Fleet{Record: rec, ReadTime: 40 * time.Millisecond}
	// A writer carries an instruction out when it begins with it, and goes on when its connection closes.
	fleet.Write = func(c standin.Call, w *standin.Stream) {
		key := c.Header.Get("Idempotency-Key")
		rec.Add("%s: carries out %q (%s), run %d", c.Replica.ID, key, c.ID, done.add(key))
		time.Sleep(firstToken)
		w.Head()
		for i := range tokens {
			w.Token(fmt.Sprintf("word%d ", i))
			time.Sleep(tokenTime)
		}
		w.End()
	}
	for i := range 2 {
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
	models := standin.Map{"assistant": "enquiry", "assistant-act": "instruction"}
	settings := standin.Settings()
	config := standin.Map{"name": "n1", "listen": listen, "discovery": agent.Addr, "seed": "8c1f30d27a5be964",
		"limits": standin.Map{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"chat":   standin.Map{"listen": chat, "models": models, "max_output": 500}, "settings": settings}
	file := filepath.Join(dir, "config.json")
	if err := standin.WriteJSON(file, config); err != nil {
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
	time.Sleep(1200 * time.Millisecond) // no SIGHUP comes in the first second

	// Two clients drop mid-stream. The connections of two others are reset before the first event.
	path, err := standin.StartResetProxy(chat, resetAfter)
	if err != nil {
		return 0, err
	}
	keys := []string{"transfer-1", "transfer-2", "transfer-3", "transfer-4"}
	var first sync.WaitGroup
	for i, key := range keys {
		first.Go(func() {
			if i < 2 {
				instruct(rec, chat, key, 0, true)
			} else {
				instruct(rec, path, key, 0, false)
			}
		})
	}
	first.Wait()
	time.Sleep(300 * time.Millisecond)
	for _, key := range keys {
		if n := done.get(key); n != 1 {
			return 0, fmt.Errorf("%s was carried out %d times before its repeat", key, n)
		}
	}

	if trouble {
		settings["services"] = append(settings["services"].([]standin.Map), standin.Map{"name": "statement", "repeat": "idempotent",
			"key_scope": "all", "goal_time_us": 1500000, "deadline_us": 6000000, "window_us": 5000000, "credit": 1, "late_worth": 0.3, "stream": true})
		models["assistant-statement"] = "statement"
		if err := standin.WriteJSON(file, config); err != nil {
			return 0, err
		}
		if err := d.Signal(syscall.SIGHUP); err != nil {
			return 0, err
		}
		rec.Add("SIGHUP: the class statement and its model are added")
	}
	time.Sleep(afterSIGHUP)
	if listed, err := modelListed(chat, "assistant-statement"); err != nil || listed != trouble {
		return 0, fmt.Errorf("the new model is listed: %v, %v", listed, err)
	}

	var second sync.WaitGroup
	for _, key := range keys {
		second.Go(func() { instruct(rec, chat, key, 1, false) })
	}
	second.Wait()
	if d.Ended() {
		return 0, fmt.Errorf("the dispatcher has ended")
	}
	for _, key := range keys {
		n := done.get(key)
		rec.Add("%s was carried out %d times", key, n)
		if n > 1 {
			broken++
		}
	}
	return broken, nil
}

// instruct sends an instruction as a client library does. With drop, the client closes its connection
// after the second event.
func instruct(rec *standin.Record, chat, key string, retry int, drop bool) {
	body := fmt.Sprintf(`{"model":"assistant-act","stream":true,"max_tokens":200,"user":"member-7","messages":[{"role":"user","content":"pay the light bill, order %s"}]}`, key)
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+chat+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		rec.Add("client: %v", err)
		return
	}
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("Idempotency-Key", key)
	q.Header.Set("X-Stainless-Retry-Count", fmt.Sprint(retry))
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	rec.Add("client: sends %s, retry %d", key, retry)
	resp, err := client.Do(q)
	if err != nil {
		rec.Add("client: %s, retry %d: no answer: %v", key, retry, err)
		return
	}
	defer resp.Body.Close()
	br := bufio.NewReader(resp.Body)
	events := 0
	for {
		line, err := br.ReadString('\n')
		if strings.HasPrefix(line, "data:") {
			events++
		}
		if drop && events == 2 {
			rec.Add("client: %s, retry %d: status %d, drops after %d events", key, retry, resp.StatusCode, events)
			return
		}
		if err != nil {
			if err == io.EOF {
				err = nil
			}
			rec.Add("client: %s, retry %d: status %d, %d events, error %v", key, retry, resp.StatusCode, events, err)
			return
		}
	}
}

// modelListed reports whether GET /v1/models names a model.
func modelListed(chat, model string) (bool, error) {
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + chat + "/v1/models")
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return strings.Contains(string(text), model), err
}
