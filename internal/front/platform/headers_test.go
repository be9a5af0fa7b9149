package platform

import (
	"strings"
	"testing"

	"standpulley/internal/fake"
	"standpulley/internal/fronttest"
)

// Guards: headers unknown to the program were not forwarded, among them the key by which replicas
// discard repeats. All headers that do not apply to the client's connection only are forwarded
// unchanged to every replica; those that the dispatcher sets itself appear once.
func TestHeadersAreForwardedUnchanged(t *testing.T) {
	rig, addr := start(t, fronttest.HealthyReader, serve)
	text := strings.Replace(rawRequest("enquiry", "3000m"), "X-Object:", "Idempotency-Key:  k 1, \"x\" \r\nx-anything: a=b;c\r\nX-Twice: 1\r\nX-Twice: 2\r\n"+
		"Connection: keep-alive, X-Hop\r\nX-Hop: mine\r\nKeep-Alive: timeout=5\r\nTE: trailers\r\nContent-Type: application/json\r\nX-Object:", 1)
	if resp, _, complete := readAnswer(t, send(t, addr, text)); resp.StatusCode != 200 || !complete {
		t.Fatalf("%d", resp.StatusCode)
	}
	for _, calls := range [][]map[string]string{headersOf(rig.Reader.Calls("POST")), headersOf(rig.Writers[0].Calls("POST"))} {
		if len(calls) != 1 {
			t.Fatalf("%d calls", len(calls))
		}
		got := calls[0]
		for name, want := range map[string]string{"Idempotency-Key": `k 1, "x"`, "X-Anything": "a=b;c", "X-Twice": "2", "X-Qos": "enquiry",
			"X-Object": "7f3a", "X-Props": "prefix=5c0f,prompt_len=100,prefix_len=50,max_out=80", "Content-Type": "application/json", "Host": "backend.local"} {
			if got[name] != want {
				t.Errorf("%s: %q, want %q", name, got[name], want)
			}
		}
		for _, name := range []string{"X-Hop", "Keep-Alive", "Te", "Connection", "Transfer-Encoding"} {
			if v, ok := got[name]; ok {
				t.Errorf("%s: %q was forwarded", name, v)
			}
		}
		if v := got["X-Expires-In"]; v == "3000m" || !strings.HasSuffix(v, "u") {
			t.Errorf("X-Expires-In: %q is the client's value", v)
		}
	}
}

func headersOf(calls []fake.Call) (all []map[string]string) {
	for _, c := range calls {
		all = append(all, c.Header)
	}
	return all
}
