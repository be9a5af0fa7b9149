package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"standpulley/internal/fake"
)

// manyShortTurns is a chat completion of about 250 KB, a conversation of very short turns. Decoded,
// it takes many times as much.
func manyShortTurns() string {
	const size = 250 << 10
	var text strings.Builder
	text.WriteString(`{"model":"ask","messages":[{"role":"user","content":"a"}`)
	for text.Len() < size {
		text.WriteString(`,{"role":"user","content":"a"}`)
	}
	text.WriteString("]}")
	return text.String()
}

// TestCrowdOfChatBodiesStaysInMemory guards against the memory of bodies between their last byte and
// the core: a crowd of conversations of very short turns took the program over its limit. The
// program is built without the race detector, which multiplies its memory.
func TestCrowdOfChatBodiesStaysInMemory(t *testing.T) {
	const crowd, tries = 150, 7
	for _, memoryMB := range []int{leastMemoryMB, 96, 192} {
		t.Run(fmt.Sprintf("%d MB", memoryMB), func(t *testing.T) {
			list := startFleet(t, func(x *fake.Exchange) { x.Answer("done") })
			p := startLimited(t, memoryMB, 512, list...)
			file := p.file

			body := manyShortTurns()
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 30 * time.Second}
			var served, refused, unanswered atomic.Int64
			var senders sync.WaitGroup
			for range crowd {
				senders.Go(func() {
					for range tries {
						resp, err := client.Post("http://"+file.Chat.Listen+"/v1/chat/completions", "application/json", strings.NewReader(body))
						if err != nil {
							unanswered.Add(1)
							continue
						}
						_, _ = io.Copy(io.Discard, resp.Body)
						_ = resp.Body.Close()
						if resp.StatusCode != http.StatusServiceUnavailable {
							served.Add(1)
							return
						}
						refused.Add(1)
						if resp.Header.Get("Retry-After") == "" {
							t.Error("a refusal without Retry-After")
						}
					}
				})
			}
			for n := range 10 { // usual clients beside the crowd
				if status, text, err := readResponse(t, sendRequest(t, file.Listen, n+1)); err != nil || status != 200 && status != 503 {
					t.Errorf("usual request %d: %d %q %v", n+1, status, text, err)
				}
			}
			senders.Wait()
			t.Logf("%d served, %d refused, %d unanswered", served.Load(), refused.Load(), unanswered.Load())
			p.checkLimits(t)
			if served.Load() == 0 {
				t.Error("none of the crowd was served")
			}
		})
	}
}
