package chat

import (
	"errors"
	"fmt"
	"hash/fnv"
	"strconv"
	"time"
	"unicode/utf8"

	jsoniter "github.com/json-iterator/go"
	"github.com/valyala/fasthttp"

	"standpulley/logic"
)

// body is what the front reads of a chat completion request. What it does not know passes on unread.
type body struct {
	Model               string    `json:"model"`
	Messages            []message `json:"messages"`
	Stream              bool      `json:"stream"`
	N                   *int      `json:"n"`
	MaxTokens           *int64    `json:"max_tokens"`
	MaxCompletionTokens *int64    `json:"max_completion_tokens"`
	User                string    `json:"user"`
}

type message struct {
	Role    string              `json:"role"`
	Content jsoniter.RawMessage `json:"content"`
}

// requestError is a request that is turned away before the core sees it, as the API words it.
type requestError struct {
	status            int
	code, param, text string
}

func (f *requestError) Error() string { return f.text }

func invalid(param, text string) *requestError {
	return &requestError{fasthttp.StatusBadRequest, "invalid_value", param, text}
}

const (
	charsPerToken = 4 // characters
	maxOutput     = 1 << 20
	maxTimeoutSec = 3600
)

// parse reads a request and checks what the front relies on.
func parse(text []byte) (*body, error) {
	var b body
	if err := jsoniter.Unmarshal(text, &b); err != nil {
		return nil, &requestError{fasthttp.StatusBadRequest, "invalid_json", "", "the body is not a chat completion request: " + err.Error()}
	}
	switch {
	case b.Model == "":
		return nil, invalid("model", "model is missing")
	case len(b.Messages) == 0:
		return nil, invalid("messages", "messages is empty")
	case b.N != nil && *b.N != 1:
		return nil, invalid("n", "only n=1 is served")
	}
	for _, limit := range []struct {
		name string
		v    *int64
	}{{"max_tokens", b.MaxTokens}, {"max_completion_tokens", b.MaxCompletionTokens}} {
		if limit.v != nil && (*limit.v < 1 || *limit.v > maxOutput) {
			return nil, invalid(limit.name, limit.name+" is out of range")
		}
	}
	return &b, nil
}

// contentText is the text of a message: a string, or parts of which the texts count.
func (m *message) contentText() (string, error) {
	var text string
	if len(m.Content) == 0 || string(m.Content) == "null" {
		return "", nil
	}
	if jsoniter.Unmarshal(m.Content, &text) == nil {
		return text, nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := jsoniter.Unmarshal(m.Content, &parts); err != nil {
		return "", errors.New("content is neither a text nor a list of parts")
	}
	for _, p := range parts {
		text += p.Text
	}
	return text, nil
}

// toRequest puts a request into the core's terms. The messages tell the conversation: its opening is the system's or
// developer's first message, which other conversations may share, and each turn begins with the texts of the turn
// before, so the opening with the user's first message names the session.
func (b *body) toRequest(class logic.Class, output int64) (logic.Request, error) {
	q := logic.Request{Class: class.Name, MaxOutput: output}
	for _, v := range []*int64{b.MaxTokens, b.MaxCompletionTokens} {
		if v != nil {
			q.MaxOutput = *v
		}
	}
	var opening, first string
	chars := 0
	for i := range b.Messages {
		m := &b.Messages[i]
		text, err := m.contentText()
		if err != nil {
			return q, invalid(fmt.Sprintf("messages[%d].content", i), err.Error())
		}
		chars += utf8.RuneCountInString(text)
		switch m.Role {
		case "system", "developer":
			if i == 0 {
				opening = text
				q.Prefix = hash(b.Model, text)
				q.PrefixTokens = int64(utf8.RuneCountInString(text) / charsPerToken)
			}
		case "user":
			if first == "" {
				first = text
			}
		case "assistant", "tool", "function":
		default:
			return q, invalid(fmt.Sprintf("messages[%d].role", i), fmt.Sprintf("role %q is not known", m.Role))
		}
	}
	q.PromptTokens = max(int64(chars/charsPerToken), 1)
	q.Session = hash(b.Model, b.User, opening, first)
	return q, nil
}

func hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = fmt.Fprintf(h, "%d:%s", len(p), p) // a hash takes everything
	}
	return max(h.Sum64(), 1) // 0 means none
}

// patience is how long the client waits: what its library tells, but no longer than its class allows.
func clientTimeout(h *fasthttp.RequestHeader, class logic.Class, tokens int64) time.Duration {
	wait := class.Deadline + 2*time.Duration(tokens)*class.AimPer1K/1000 // the deadline grows twice as much as the aim
	for _, name := range []string{"X-Stainless-Timeout", "X-Stainless-Read-Timeout"} {
		if v, err := strconv.ParseFloat(string(h.Peek(name)), 64); err == nil && v > 0 && v < maxTimeoutSec {
			wait = min(wait, time.Duration(v*float64(time.Second)))
		}
	}
	return wait
}

// streamed gives the body that asks replicas for a stream, which is the only form in which they answer.
func withStreaming(text []byte) ([]byte, error) {
	all := map[string]jsoniter.RawMessage{}
	if err := jsoniter.Unmarshal(text, &all); err != nil {
		return nil, err
	}
	all["stream"] = jsoniter.RawMessage("true")
	all["stream_options"] = jsoniter.RawMessage(`{"include_usage":true}`)
	return jsoniter.ConfigCompatibleWithStandardLibrary.Marshal(all)
}
