package chat

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"standpulley/internal/dispatch"
	"standpulley/internal/fake"
	"standpulley/internal/front/platform"
	"standpulley/internal/fronttest"
)

var options = Options{Models: map[string]string{"ask": "enquiry", "act": "instruction"}, MaxOutput: 400}

func newShared() Shared {
	decoding := &DecodeBudget{}
	decoding.SetLimit(64 << 20)
	return Shared{Instructions: NewInstructions(), Decoding: decoding}
}

func start(t *testing.T, read func(*fake.Exchange), writes ...func(*fake.Exchange)) (*fronttest.Rig, string) {
	t.Helper()
	rig := fronttest.Start(t, read, writes...)
	f, err := New(rig.Core, rig.Pool, fronttest.Settings().Classes, newShared(), options)
	if err != nil {
		t.Fatal(err)
	}
	return rig, rig.Serve(t, f.Server())
}

// newSDKClient returns a client of the official library with its default retries, as applications
// use it.
func newSDKClient(addr string, more ...option.RequestOption) *openai.Client {
	c := openai.NewClient(append([]option.RequestOption{option.WithBaseURL("http://" + addr + "/v1"),
		option.WithAPIKey("none")}, more...)...)
	return &c
}

func sdkParams(model string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{Model: model, Messages: []openai.ChatCompletionMessageParamUnion{
		openai.SystemMessage("You serve the members of a credit union."), openai.UserMessage("Pay the light bill.")}}
}

// post sends a request without the client library.
func post(t *testing.T, addr, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest("POST", "http://"+addr+completionsPath, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil && resp.StatusCode != http.StatusOK {
		t.Fatal(err)
	}
	if err != nil {
		text = append(text, "(cut)"...)
	}
	return resp, string(text)
}

// firstThen runs one script for the first call and the other for all later calls, over all
// replicas.
func firstThen(once, then func(*fake.Exchange)) func(*fake.Exchange) {
	var played atomic.Bool
	return func(x *fake.Exchange) {
		if played.CompareAndSwap(false, true) {
			once(x)
		} else {
			then(x)
		}
	}
}

func requestBody(model string, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%v,"messages":[{"role":"user","content":"hello"}]}`, model, stream)
}

func TestStreamIsRelayedUnchanged(t *testing.T) {
	rig, addr := start(t, fronttest.HealthyReader, func(x *fake.Exchange) { x.Answer("light ", "bill ", "paid") })
	s := newSDKClient(addr).Chat.Completions.NewStreaming(context.Background(), sdkParams("act"))
	text := ""
	for s.Next() {
		for _, c := range s.Current().Choices {
			text += c.Delta.Content
		}
	}
	if s.Err() != nil || text != "light bill paid" {
		t.Errorf("got %q, %v", text, s.Err())
	}
	call := rig.Writers[0].Calls("POST")[0]
	if call.Header["X-Qos"] != "instruction" || !strings.Contains(call.Header["X-Props"], "prefix_len=10") ||
		!strings.Contains(call.Header["X-Props"], "max_out=400") || call.Header["X-Object"] == "" {
		t.Errorf("the replica got headers %v", call.Header)
	}
	if resp, body := post(t, addr, requestBody("ask", true)); resp.Header.Get("Content-Type") != "text/event-stream" ||
		!strings.HasSuffix(body, "data: [DONE]\n\n") || strings.Count(body, "[DONE]") != 1 {
		t.Errorf("%v: %q", resp.Header, body)
	}
}

// Guards: servers that prefill and decode in a single stage, as plain servers of the API do, must
// work behind the same core and rules.
func TestMixedServers(t *testing.T) {
	rig, addr := start(t, nil, func(x *fake.Exchange) { x.Answer("one ", "stage") })
	c, err := newSDKClient(addr).Chat.Completions.New(context.Background(), sdkParams("act"))
	if err != nil || c.Choices[0].Message.Content != "one stage" || rig.WriterRequests() != 1 {
		t.Errorf("got %v, %v after %d sends", c, err, rig.WriterRequests())
	}
	broken, addr := start(t, nil, func(x *fake.Exchange) { x.Break() })
	if _, err := newSDKClient(addr).Chat.Completions.New(context.Background(), sdkParams("act")); err == nil || broken.WriterRequests() != 1 {
		t.Errorf("got %v after %d sends", err, broken.WriterRequests())
	}
}

// Guards: replicas may end a complete stream without [DONE], which client libraries wait for.
func TestMissingDoneEventIsAdded(t *testing.T) {
	_, addr := start(t, fronttest.HealthyReader, func(x *fake.Exchange) {
		x.Head()
		x.Token("x")
		_, _ = io.WriteString(x.Conn, "0\r\n\r\n")
	})
	if _, body := post(t, addr, requestBody("ask", true)); !strings.HasSuffix(body, "data: [DONE]\n\n") {
		t.Errorf("got %q", body)
	}
}

func TestNonStreamingAnswer(t *testing.T) {
	rig, addr := start(t, fronttest.HealthyReader, func(x *fake.Exchange) { x.Answer("a", "b") })
	c, err := newSDKClient(addr).Chat.Completions.New(context.Background(), sdkParams("ask"))
	if err != nil {
		t.Fatal(err)
	}
	if c.Choices[0].Message.Content != "ab" || c.Choices[0].FinishReason != "stop" || c.Usage.PromptTokens != 8 || c.Object != "chat.completion" {
		t.Errorf("got %s", c.RawJSON())
	}
	if body := rig.Writers[0].Calls("POST")[0].Body; !strings.Contains(body, `"stream":true`) {
		t.Errorf("the replica was sent %s", body)
	}
	if page, err := newSDKClient(addr).Models.List(context.Background()); err != nil || len(page.Data) != 2 {
		t.Errorf("models: %v, %v", page, err)
	}
}

// Guards: an instruction that may have run must not be answered with a status that the client
// library retries by itself.
func TestInstructionThatMayHaveRunIsNotRetried(t *testing.T) {
	for name, act := range map[string]func(*fake.Exchange){
		"reset":    func(x *fake.Exchange) { x.Break() },
		"error":    func(x *fake.Exchange) { x.Status(500, false, "") },
		"cut off":  func(x *fake.Exchange) { x.Head(); x.Token("pa"); x.Break() },
		"no words": func(x *fake.Exchange) { x.Status(503, false, "") },
	} {
		t.Run(name, func(t *testing.T) {
			rig, addr := start(t, fronttest.HealthyReader, act, act)
			_, err := newSDKClient(addr).Chat.Completions.New(context.Background(), sdkParams("act"))
			var e *openai.Error
			if !errors.As(err, &e) || e.StatusCode != statusMayHaveRun || e.Code != "may_have_run" {
				t.Errorf("got %v", err)
			}
			if n := rig.WriterRequests(); n != 1 {
				t.Errorf("the instruction was sent to writers %d times", n)
			}
			if totals, _ := rig.Core.Counts.Snapshot(); totals.Taken != 1 {
				t.Errorf("the library sent the instruction %d times", totals.Taken)
			}
		})
	}
}

// Guards: the client library times out and resends the instruction while the first attempt may be
// running.
func TestInstructionAbandonedByItsClientIsNotRunAgain(t *testing.T) {
	rig, addr := start(t, fronttest.HealthyReader, func(x *fake.Exchange) { x.WaitClosed() })
	_, err := newSDKClient(addr, option.WithRequestTimeout(time.Second)).Chat.Completions.New(context.Background(), sdkParams("act"))
	if err == nil {
		t.Error("the abandoned request was answered")
	}
	fronttest.WaitFor(t, "the first request to end", func() bool { return rig.CountVerdicts(dispatch.ClientLeft)+rig.CountVerdicts(dispatch.Failed) == 1 })
	if n := rig.WriterRequests(); n != 1 {
		t.Errorf("the instruction was sent to writers %d times", n)
	}
}

// Guards: when a client disconnects in the middle of an instruction's stream, the request has one
// final outcome, its attempt is ended, and nothing more is sent, even if the client's library
// repeats the request.
func TestClientDropsMidStreamDuringAnInstruction(t *testing.T) {
	gone := make(chan bool, 1)
	act := firstThen(func(x *fake.Exchange) {
		x.Head()
		x.Token("half")
		x.WaitClosed()
		gone <- true
	}, func(x *fake.Exchange) { x.Answer("twice!") })
	rig, addr := start(t, fronttest.HealthyReader, act, act)
	rig.Pool.StallTimeout = 30 * time.Second // so that the client's close, not a stall, ends the attempt
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	body := requestBody("act", true)
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k1\r\nContent-Length: %d\r\n\r\n%s", completionsPath, len(body), body)
	br := bufio.NewReader(c)
	for line := ""; !strings.Contains(line, "data:"); {
		if line, err = br.ReadString('\n'); err != nil {
			t.Fatal(err)
		}
	}
	_ = c.Close()
	select {
	case <-gone:
	case <-time.After(5 * time.Second):
		t.Error("the attempt continues after the client has disconnected")
	}
	if resp, text := post(t, addr, body, "Idempotency-Key", "k1"); resp.StatusCode != statusMayHaveRun || resp.Header.Get("X-Should-Retry") != "false" {
		t.Errorf("the repeat got %d %s", resp.StatusCode, text)
	}
	if n := rig.WriterRequests(); n != 1 || rig.CountVerdicts(dispatch.Served) != 1 {
		t.Errorf("%d sends to writers, %d served", n, rig.CountVerdicts(dispatch.Served))
	}
}

// Guards: when a replica stalls after the first event, the client must not be left waiting, the
// stream must not look complete, and nothing is sent again.
func TestReplicaStallsAfterTheFirstEvent(t *testing.T) {
	for _, model := range []string{"ask", "act"} {
		stall := func(x *fake.Exchange) { x.Head(); x.Token("half"); x.WaitClosed() }
		rig, addr := start(t, fronttest.HealthyReader, stall, stall)
		from := time.Now()
		_, body := post(t, addr, requestBody(model, true))
		if !strings.Contains(body, "half") || !strings.Contains(body, "stream_broken") || !strings.HasSuffix(body, "(cut)") ||
			strings.Contains(body, "[DONE]") {
			t.Errorf("%s: got %q", model, body)
		}
		if took := time.Since(from); took > 3*time.Second {
			t.Errorf("%s: the client waited %v", model, took)
		}
		if n := rig.WriterRequests(); n != 1 {
			t.Errorf("%s: %d sends to writers", model, n)
		}
		want := map[string]int{"ask": 502, "act": statusMayHaveRun}[model]
		if resp, body := post(t, addr, requestBody(model, false)); resp.StatusCode != want || rig.WriterRequests() != 2 {
			t.Errorf("%s non-streaming: %d %s after %d sends in all", model, resp.StatusCode, body, rig.WriterRequests())
		}
	}
}

// Guards: whatever fails at the replicas, each instruction runs at most once and each accepted
// request has one final outcome, even with a client library that retries by itself.
func TestNoInstructionRunsTwice(t *testing.T) {
	scripts := []func(*fake.Exchange){
		func(x *fake.Exchange) { x.Answer("ok") },
		func(x *fake.Exchange) { x.Break() },
		func(x *fake.Exchange) { x.Status(500, false, "") },
		func(x *fake.Exchange) { x.Head(); x.Token("half"); x.Break() },
		func(x *fake.Exchange) { x.Head(); x.Token("half"); x.WaitClosed() },
	}
	const requests = 20
	var mu sync.Mutex
	runs, rejected := map[int]int{}, map[int]bool{}
	act := func(x *fake.Exchange) {
		var n int
		text := string(x.Req.Body())
		if _, err := fmt.Sscanf(text[strings.Index(text, "pay #"):], "pay #%d", &n); err != nil {
			t.Error(err)
		}
		mu.Lock()
		// Every other instruction is refused first, which proves that it has not run.
		reject := n%2 == 0 && !rejected[n]
		rejected[n] = true
		if !reject {
			runs[n]++
		}
		mu.Unlock()
		if reject {
			x.Status(503, true, "")
			return
		}
		scripts[n%len(scripts)](x)
	}
	rig, addr := start(t, fronttest.HealthyReader, act, act, act)
	var wg sync.WaitGroup
	for n := range requests {
		wg.Go(func() {
			q := sdkParams("act")
			q.Messages[1] = openai.UserMessage(fmt.Sprintf("pay #%d", n))
			if n%4 < 2 {
				_, _ = newSDKClient(addr).Chat.Completions.New(context.Background(), q) // only the runs are counted
				return
			}
			for s := newSDKClient(addr).Chat.Completions.NewStreaming(context.Background(), q); s.Next(); {
			}
		})
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	for n, times := range runs {
		if times > 1 {
			t.Errorf("instruction %d ran %d times", n, times)
		}
	}
	if len(runs) == 0 {
		t.Error("no instruction ran")
	}
	totals, _ := rig.Core.Counts.Snapshot()
	final := 0
	for _, count := range totals.Verdicts {
		final += count
	}
	if final != totals.Taken || totals.Taken < requests {
		t.Errorf("%d taken, final outcomes %v", totals.Taken, totals.Verdicts)
	}
}

// Guards: an enquiry may be retried without its client noticing.
func TestEnquiryIsRetried(t *testing.T) {
	act := firstThen(func(x *fake.Exchange) { x.Break() }, func(x *fake.Exchange) { x.Answer("ok") })
	rig, addr := start(t, fronttest.HealthyReader, act, act)
	c, err := newSDKClient(addr, option.WithMaxRetries(0)).Chat.Completions.New(context.Background(), sdkParams("ask"))
	if err != nil || c.Choices[0].Message.Content != "ok" {
		t.Errorf("got %v, %v", c, err)
	}
	if rig.WriterRequests() != 2 || rig.CountVerdicts(dispatch.Served) != 1 {
		t.Errorf("%d sends, %d served", rig.WriterRequests(), rig.CountVerdicts(dispatch.Served))
	}
}

// Guards: a refusal proves that nothing has run. It carries Retry-After, and the instruction may be
// sent again.
func TestRefusalHasRetryAfter(t *testing.T) {
	full := func(x *fake.Exchange) { x.Status(503, true, "") }
	rig, addr := start(t, fronttest.HealthyReader, full)
	resp, body := post(t, addr, requestBody("act", false))
	if resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" || resp.Header.Get("X-Should-Retry") != "true" ||
		!strings.Contains(body, `"code":"overloaded"`) || !strings.Contains(body, `"type":"server_error"`) {
		t.Errorf("%d %v %s", resp.StatusCode, resp.Header, body)
	}
	if resp, _ := post(t, addr, requestBody("act", false), "X-Stainless-Retry-Count", "1"); resp.StatusCode != 503 {
		t.Errorf("its repeat got %d", resp.StatusCode)
	}
	fronttest.WaitFor(t, "the release of what was read", func() bool {
		return len(rig.Reader.Calls("DELETE"))+len(rig.Writers[0].Calls("DELETE")) >= 1
	})
}

// Guards: invalid requests get the API's error format and never reach a replica.
func TestBadInput(t *testing.T) {
	rig, addr := start(t, fronttest.HealthyReader, func(x *fake.Exchange) { x.Answer("x") })
	for body, want := range map[string]string{
		`{`:            `400 invalid_json`,
		`{"model":7}`:  `400 invalid_json`,
		`{"model":""}`: `400 invalid_value`,
		`{"model":"none","messages":[{"role":"user","content":"x"}]}`:                `404 model_not_found`,
		`{"model":"ask","messages":[]}`:                                              `400 invalid_value`,
		`{"model":"ask","messages":[{"role":"ghost","content":"x"}]}`:                `400 invalid_value`,
		`{"model":"ask","messages":[{"role":"user","content":7}]}`:                   `400 invalid_value`,
		`{"model":"ask","n":2,"messages":[{"role":"user","content":"x"}]}`:           `400 invalid_value`,
		`{"model":"ask","max_tokens":-1,"messages":[{"role":"user","content":"x"}]}`: `400 invalid_value`,
		strings.Repeat("x", maxBody+1):                                               `413 invalid_request`,
	} {
		resp, text := post(t, addr, body)
		status, code, _ := strings.Cut(want, " ")
		if fmt.Sprint(resp.StatusCode) != status || !strings.Contains(text, `"code":"`+code+`"`) {
			t.Errorf("%.60s: %d %s, want %s", body, resp.StatusCode, text, want)
		}
	}
	if n := len(rig.Reader.Calls("")) + rig.WriterRequests(); n != 0 {
		t.Errorf("%d calls reached replicas", n)
	}
}

// Guards: the turns of a conversation share a session, and conversations with the same opening
// share a prefix.
func TestSessionAndPrefix(t *testing.T) {
	class := fronttest.Settings().Classes[0]
	ask := func(text string) (session, prefix uint64) {
		b, err := parse([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		q, err := b.toRequest(class, 10)
		if err != nil {
			t.Fatal(err)
		}
		return q.Session, q.Prefix
	}
	s1, p1 := ask(`{"model":"ask","messages":[{"role":"system","content":"open"},{"role":"user","content":"one"}]}`)
	s2, p2 := ask(`{"model":"ask","messages":[{"role":"system","content":"open"},{"role":"user","content":[{"type":"text","text":"one"}]},{"role":"assistant","content":"a"},{"role":"user","content":"two"}]}`)
	s3, p3 := ask(`{"model":"ask","messages":[{"role":"system","content":"open"},{"role":"user","content":"other"}]}`)
	if s1 != s2 || s1 == s3 || p1 != p2 || p1 != p3 || p1 == 0 {
		t.Errorf("sessions %x %x %x, prefixes %x %x %x", s1, s2, s3, p1, p2, p3)
	}
}

func TestModelsMustNameKnownClasses(t *testing.T) {
	rig := fronttest.Start(t, fronttest.HealthyReader)
	if _, err := New(rig.Core, rig.Pool, fronttest.Settings().Classes, newShared(), Options{Models: map[string]string{"m": "none"}}); err == nil || !strings.Contains(err.Error(), "chat.models.m") {
		t.Errorf("got %v", err)
	}
	_ = platform.New(rig.Core, rig.Pool, fronttest.Settings(), nil) // both fronts can serve one core
}
