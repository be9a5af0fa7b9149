package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client of the chat API got.
type answer struct {
	status int
	text   string
	whole  bool
	err    error
}

func (a answer) String() string {
	switch {
	case a.err != nil:
		return "error: " + a.err.Error()
	case a.status == 200:
		return fmt.Sprintf("200, whole: %v", a.whole)
	}
	return fmt.Sprintf("%d %s", a.status, strings.TrimSpace(a.text))
}

// chatBody is the body of a chat request: the opening, then the turns of the user and the assistant.
func chatBody(model, opening string, turns ...string) string {
	messages := []object{{"role": "system", "content": opening}}
	for i, words := range turns {
		messages = append(messages, object{"role": []string{"user", "assistant"}[i%2], "content": words})
	}
	b := object{"model": model, "stream": true, "messages": messages}
	text, _ := json.Marshal(b)
	return string(text)
}

// ask sends a chat request on a new connection, as a client library does. The library marks its own
// repeats by the count. The client gives up at the end of ctx and closes its connection.
func ask(ctx context.Context, addr, body string, count int, header ...string) (a answer) {
	c, err := (&net.Dialer{Timeout: 2 * time.Second}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	head := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nAuthorization: Bearer member-17\r\nX-Stainless-Retry-Count: %d\r\nContent-Length: %d\r\n",
		addr, count, len(body))
	for _, h := range header {
		head += h + "\r\n"
	}
	if _, err := io.WriteString(c, head+"\r\n"+body); err != nil {
		return answer{err: err}
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return answer{err: errors.Join(err, ctx.Err())}
	}
	text, err := io.ReadAll(r.Body)
	a = answer{status: r.StatusCode, text: string(text), err: err}
	a.whole = err == nil && strings.Contains(a.text, "[DONE]") && !strings.Contains(a.text, `"error"`)
	if r.StatusCode != 200 {
		a.err = nil
	}
	return a
}
