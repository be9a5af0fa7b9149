package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"standpulley/internal/fake"
	"standpulley/internal/soak"
)

// The least memory, and the most and fewest descriptors, that the platform gives a dispatcher.
const (
	leastMemoryMB     = 32
	mostDescriptors   = 1024
	fewestDescriptors = 256
)

// buildFolder holds what deployedBinary has built until all tests have ended.
var buildFolder string

// deployedBinary builds the program as deploy/balancer.toml does, once for all tests. It has no race
// detector, which multiplies memory.
var deployedBinary = sync.OnceValues(func() (binary string, err error) {
	if buildFolder, err = os.MkdirTemp("", "standpulley-"); err != nil {
		return "", err
	}
	binary = filepath.Join(buildFolder, "standpulley")
	out, err := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", binary, ".").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w\n%s", err, out)
	}
	return binary, nil
})

// limitedProgram is a running program as it is deployed.
type limitedProgram struct {
	file   *siteFile
	env    []string // environment that names the configuration
	cmd    *exec.Cmd
	out    *outputBuffer
	exited chan struct{} // closed when the process has exited
}

// startLimited starts the program as it is deployed, with the limits in its configuration.
func startLimited(t *testing.T, memoryMB, sockets int, list ...fake.Entry) *limitedProgram {
	t.Helper()
	file := newSiteFile(t, startAgent(t, list...).Addr)
	file.Limits = &limitsSection{MemoryMB: memoryMB, Sockets: sockets}
	path := filepath.Join(t.TempDir(), "config.json")
	file.write(t, path)
	return startDeployed(t, file, []string{"EDGE_CONFIG=" + path, "TMPDIR=" + t.TempDir()})
}

// startDeployed starts the program as it is deployed and waits until it is ready.
func startDeployed(t *testing.T, file *siteFile, env []string) *limitedProgram {
	t.Helper()
	binary, err := deployedBinary()
	if err != nil {
		t.Fatal(err)
	}
	p := &limitedProgram{file: file, env: env, exited: make(chan struct{})}
	p.cmd, p.out = startBinary(t, binary, env)
	go func() {
		defer close(p.exited)
		_ = p.cmd.Wait() // tests look at the log
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill() // it may have ended already
		<-p.exited
	})
	waitFor(t, "a ready program", func() bool { return strings.Contains(p.out.String(), "n0: ready") })
	return p
}

// checkLimits checks that the process runs and has kept its limits so far.
func (p *limitedProgram) checkLimits(t *testing.T) {
	t.Helper()
	select {
	case <-p.exited:
		t.Fatalf("the process has ended: %s", p.out)
	default:
	}
	peak := soak.PeakMemory(p.cmd.Process.Pid)
	if peak == 0 {
		t.Fatal("the memory of the process can't be read")
	}
	t.Logf("peak %d KB", peak>>10)
	if limit := p.file.Limits.MemoryMB << 20; peak >= limit {
		t.Errorf("%d KB resident, limit %d KB", peak>>10, limit>>10)
	}
	if n := p.descriptors(t); n > p.file.Limits.Sockets {
		t.Errorf("%d descriptors, limit %d", n, p.file.Limits.Sockets)
	}
}

func (p *limitedProgram) descriptors(t *testing.T) int {
	t.Helper()
	all, err := os.ReadDir("/proc/" + strconv.Itoa(p.cmd.Process.Pid) + "/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(all)
}

// startReplicas starts four readers and four writers.
func startReplicas(t *testing.T, read, write func(*fake.Exchange)) (list []fake.Entry, replicas []*fake.Replica) {
	t.Helper()
	for i := range 4 {
		for kind, act := range map[string]func(*fake.Exchange){"reader": read, "writer": write} {
			r, e := startReplica(t, fmt.Sprintf("%s-%d", kind, i), kind, act)
			list, replicas = append(list, e), append(replicas, r)
		}
	}
	return list, replicas
}

// platformRequest returns a request of the platform's protocol with a body of the given size.
func platformRequest(n int, class, fields string, size int) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Trace-Id: c%015x\r\nX-Qos: %s\r\nX-Expires-In: 6000m\r\n%sContent-Length: %d\r\n\r\n%s",
		n, class, fields, size, jsonText(size))
}

// chatRequest returns a request of the chat API whose answer comes in one piece.
func chatRequest(question string) string {
	body := fmt.Sprintf(`{"model":"ask","max_tokens":60000,"messages":[{"role":"user","content":%q}]}`, question)
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// jsonText returns a JSON text of the given size, of at least 2 bytes.
func jsonText(size int) string { return "{" + strings.Repeat(" ", size-2) + "}" }

const largestBody = 256 << 10

// Scripts of replicas.
func readAtOnce(x *fake.Exchange) { x.Read(0) }

func readLate(x *fake.Exchange) {
	if !x.WaitClosedFor(2 * time.Second) {
		x.Read(0)
	}
}

func writeShort(x *fake.Exchange) { x.Answer("done") }

func writeLong(pieces int) func(*fake.Exchange) {
	return func(x *fake.Exchange) {
		x.Head()
		for range pieces {
			if x.Token(strings.Repeat("x", 1000)); x.Broken() {
				return
			}
		}
		x.End()
	}
}

// Ways of clients to use a connection.
func sendAndRead(text func(n int) string) func(c net.Conn, n int) {
	return func(c net.Conn, n int) {
		_, _ = io.WriteString(c, text(n)) // the program may refuse it before its end
		_, _ = io.Copy(io.Discard, c)
	}
}

func sendSlowly(text func(n int) string) func(c net.Conn, n int) {
	const pieces = 20
	return func(c net.Conn, n int) {
		all := text(n)
		for size := len(all)/pieces + 1; len(all) > 0; all = all[min(size, len(all)):] {
			if _, err := io.WriteString(c, all[:min(size, len(all))]); err != nil {
				return
			}
			time.Sleep(2 * time.Second / pieces)
		}
		_, _ = io.Copy(io.Discard, c)
	}
}

func readSlowly(text func(n int) string) func(c net.Conn, n int) {
	return func(c net.Conn, n int) {
		_, _ = io.WriteString(c, text(n))
		for piece := make([]byte, 1024); ; time.Sleep(100 * time.Millisecond) {
			if _, err := c.Read(piece); err != nil {
				return
			}
		}
	}
}

// TestCrowdsStayInMemory guards against a process that passes its memory limit and is killed, as
// hundreds of clients at once stop half way, write or read slowly, or wait for their answers.
func TestCrowdsStayInMemory(t *testing.T) {
	manyFields := strings.Repeat("a:\r\n", 1900)
	small := func(n int) string { return platformRequest(n, "enquiry", "", 2) }
	large := func(n int) string { return platformRequest(n, "enquiry", "", largestBody) }
	fields := func(n int) string { return platformRequest(n, "enquiry", manyFields, 2) }
	cookies := func(n int) string {
		return platformRequest(n, "enquiry", "Cookie: "+strings.Repeat("a;", 3500)+"\r\n", 2)
	}
	answer := func(n int) string { return chatRequest(fmt.Sprint("question ", n)) }
	behind := strings.Repeat("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n", 1<<20/36)
	ahead := func(n int) string { return small(n) + behind }
	cut := func(text func(int) string, share float64) func(int) string {
		return func(n int) string { return text(n)[:int(share*float64(len(text(n))))] }
	}
	for name, x := range map[string]struct {
		read, write func(*fake.Exchange)
		client      func(c net.Conn, n int)
		chat        bool // the clients use the chat API
	}{
		"stop in a large body":             {readAtOnce, writeShort, sendAndRead(cut(large, 0.5)), false},
		"stop in a head of many fields":    {readAtOnce, writeShort, sendAndRead(cut(fields, 0.95)), false},
		"send heads of many fields":        {readLate, writeShort, sendAndRead(fields), false},
		"send heads of many cookies":       {readLate, writeShort, sendAndRead(cookies), false},
		"write slowly":                     {readLate, writeShort, sendSlowly(large), false},
		"wait with small bodies":           {readLate, writeShort, sendAndRead(small), false},
		"send far ahead":                   {readLate, writeShort, sendAndRead(ahead), false},
		"wait with large bodies":           {readLate, writeShort, sendAndRead(large), false},
		"read long answers slowly":         {readAtOnce, writeLong(4000), readSlowly(small), false},
		"wait for long answers in a piece": {readAtOnce, writeLong(200), sendAndRead(answer), true},
		"read long pieces slowly":          {readAtOnce, writeLong(200), readSlowly(answer), true},
	} {
		t.Run(name, func(t *testing.T) {
			list, _ := startReplicas(t, x.read, x.write)
			for _, descriptors := range []int{mostDescriptors, fewestDescriptors} {
				t.Run(fmt.Sprint(descriptors, " descriptors"), func(t *testing.T) {
					t.Parallel()
					p := startLimited(t, leastMemoryMB, descriptors, list...)
					addr := p.file.Listen
					if x.chat {
						addr = p.file.Chat.Listen
					}
					p.withstand(t, addr, x.client)
				})
			}
		})
	}
}

// withstand has a crowd of clients use an address, beside some usual ones, and checks that the
// process keeps its limits and serves afterwards.
func (p *limitedProgram) withstand(t *testing.T, addr string, client func(c net.Conn, n int)) {
	t.Helper()
	const crowd, crowdStays = 440, 4 * time.Second
	var clients sync.WaitGroup
	for n := range crowd {
		clients.Go(func() {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				return
			}
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(crowdStays))
			client(c, n)
		})
	}
	time.Sleep(100 * time.Millisecond)
	served, refused := askBeside(t, p, 10)
	clients.Wait()
	t.Logf("usual clients beside the crowd: %d served, %d refused", served, refused)
	p.checkLimits(t)
	waitFor(t, "a usual client to be served", func() bool {
		served, _ := askBeside(t, p, 1)
		return served > 0
	})
}

// lastAsked is the number of the last request of askBeside. Requests of crowds have lower ones.
var lastAsked = func() *atomic.Int64 { n := new(atomic.Int64); n.Store(1 << 40); return n }()

// askBeside sends requests one after the other, each on a connection of its own. Each must get an
// answer in time, whatever other clients do.
func askBeside(t *testing.T, p *limitedProgram, count int) (served, refused int) {
	t.Helper()
	const timeout, slack = 6 * time.Second, 500 * time.Millisecond
	var answers [2]atomic.Int64
	var asked sync.WaitGroup
	for n := range count {
		asked.Go(func() {
			c, err := net.Dial("tcp", p.file.Listen)
			if err != nil {
				t.Errorf("request %d: %v", n, err)
				return
			}
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(timeout + slack))
			_, _ = io.WriteString(c, platformRequest(int(lastAsked.Add(1)), "instruction", "", 2)) // the read reports an error
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			switch {
			case err != nil:
				t.Errorf("request %d: %v", n, err)
			case resp.StatusCode == http.StatusOK:
				answers[0].Add(1)
			default:
				answers[1].Add(1)
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	asked.Wait()
	return int(answers[0].Load()), int(answers[1].Load())
}
