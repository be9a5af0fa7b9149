package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const program = "bin/standpulley" // the cases start in the project's root

var (
	procMu    sync.Mutex
	processes []*process
	tempDir   string
)

// process is a program that the case started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

func temp() string {
	if tempDir == "" {
		d, err := os.MkdirTemp("", "review-second-")
		must(err, "a temporary folder")
		tempDir = d
	}
	return tempDir
}

// begin starts the project's program; its log goes into the temporary folder.
func begin(name string, env []string, args ...string) *process {
	log, err := os.OpenFile(filepath.Join(temp(), name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err, "a log")
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr, cmd.Env = log, log, append(os.Environ(), env...)
	must(cmd.Start(), "starting "+program)
	p := &process{name, cmd, make(chan struct{})}
	go func() { _ = cmd.Wait(); log.Close(); close(p.done) }()
	procMu.Lock()
	processes = append(processes, p)
	procMu.Unlock()
	say("started: %s %s (%s)", program, strings.Join(args, " "), name)
	return p
}

func (p *process) signal(s syscall.Signal) {
	say("signal to %s: %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

func (p *process) wait(most time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(most):
		return false
	}
}

// endAll ends every process that the case started.
func endAll() {
	procMu.Lock()
	defer procMu.Unlock()
	for _, p := range processes {
		if !p.ended() {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
	processes = nil
	if tempDir != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(tempDir)
		tempDir = ""
	}
}

// command runs the project's program to its end and returns its exit code and output.
func command(args ...string) (code int, output string) {
	var out bytes.Buffer
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Run()
	code = cmd.ProcessState.ExitCode()
	if err != nil && code < 0 {
		must(err, "running "+program)
	}
	text := strings.TrimSpace(out.String())
	say("ran: %s %s -> exit %d: %s", program, strings.Join(args, " "), code, strings.ReplaceAll(text, "\n", " | "))
	return code, text
}

func mustCommand(args ...string) string {
	code, text := command(args...)
	if code != 0 {
		panic(cannotRun{fmt.Sprintf("%v ended with %d", args, code)})
	}
	return text
}

// freeAddr returns a loopback address that nobody uses. Its port lies below those that the system gives
// to outgoing connections and to the stand-ins.
func freeAddr() string {
	for range 1000 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 20000+rand.N(12000)))
		if err == nil {
			defer l.Close()
			return l.Addr().String()
		}
	}
	panic(cannotRun{"no free port"})
}

func writeJSON(path string, v any) string {
	text, err := json.MarshalIndent(v, "", "  ")
	must(err, "a file")
	must(os.WriteFile(path, text, 0o600), "a file")
	return path
}

type object = map[string]any

// settings are those of deploy/chat.json: a small deployment with two classes.
func settings(siblings int) object {
	return object{
		"siblings": siblings, "zone": "half-way-tree", "host_types": []string{"prompt-box", "answer-box"},
		"family_info": object{"duty_by_kind": []string{"read", "write"}, "kv_tokens": []int{200000, 150000},
			"aim_us_per_1000_prompt_tokens": []int{40000, 40000}, "token_aim_us": []int{60000, 80000}, "let_go_by_us": 500000,
			"read_in_place": false, "resume": false},
		"limits": object{"try_limit": 6, "cancel": true, "retry_after": true, "max_retry_after_us": 2000000, "connect_timeout_us": 250000, "conn_idle_us": 30000000},
		"obligations": object{"answer_slack_us": 16000, "drain_grace_us": 1000000, "cold_from": 0.27, "ramp_time_us": 14000000, "fall_multiple": 2.5,
			"fall_us": 3000000},
		"services": []object{
			{"name": "enquiry", "repeat": "idempotent", "goal_time_us": 1500000, "deadline_us": 6000000, "credit": 3, "late_worth": 0.3, "stream": true},
			{"name": "instruction", "repeat": "at_most_once", "goal_time_us": 2500000, "deadline_us": 10000000, "credit": 2, "late_worth": 0.3, "stream": true}},
	}
}

func models() object { return object{"assistant": "enquiry", "assistant-act": "instruction"} }

func limits() object { return object{"cores": 1, "memory_mb": 192, "sockets": 1024} }

// awaitReady waits until a dispatcher says at its clients' address that it is ready.
func awaitReady(addr string, most time.Duration) {
	for end := time.Now().Add(most); ; time.Sleep(50 * time.Millisecond) {
		if isReady(addr) {
			say("ready: %s", addr)
			return
		}
		if time.Now().After(end) {
			panic(cannotRun{addr + " is not ready"})
		}
	}
}

func isReady(addr string) bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + addr + "/-/ready")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == 200
}
