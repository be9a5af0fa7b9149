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

// body holds the fields of a chat completion request that the front reads. Other fields are passed
// on unread.
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

// requestError is the API error for a request that is rejected before it reaches the core.
type requestError struct {
	status            int
	code, param, text string
}

func (f *requestError) Error() string { return f.text }

func invalid(param, text string) *requestError {
	return &requestError{fasthttp.StatusBadRequest, "invalid_value", param, text}
}

const (
	charsPerToken = 4
	maxOutput     = 1 << 20
	maxTimeoutSec = 3600
)

// parse decodes a request and validates the fields that the front relies on.
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

// contentText returns the text of a message, whose content is a string or a list of parts; the
// texts of the parts are joined.
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

// toRequest translates a request for the core. The messages identify the conversation: its opening
// is the system's or developer's first message, which several conversations may share. Each turn
// begins with the messages of the turn before it, so the opening together with the user's first
// message identifies the session.
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
		_, _ = fmt.Fprintf(h, "%d:%s", len(p), p) // never fails
	}
	return max(h.Sum64(), 1) // 0 means none
}

// clientTimeout returns how long the client waits: as its library announces, but no longer than its
// class allows.
func clientTimeout(h *fasthttp.RequestHeader, class logic.Class, tokens int64) time.Duration {
	// The deadline grows with the prompt at twice the rate of the aim.
	wait := class.Deadline + 2*time.Duration(tokens)*class.AimPer1K/1000
	for _, name := range []string{"X-Stainless-Timeout", "X-Stainless-Read-Timeout"} {
		if v, err := strconv.ParseFloat(string(h.Peek(name)), 64); err == nil && v > 0 && v < maxTimeoutSec {
			wait = min(wait, time.Duration(v*float64(time.Second)))
		}
	}
	return wait
}

// withStreaming returns the body with streaming enabled, because replicas answer only with streams.
func withStreaming(text []byte) ([]byte, error) {
	all := map[string]jsoniter.RawMessage{}
	if err := jsoniter.Unmarshal(text, &all); err != nil {
		return nil, err
	}
	all["stream"] = jsoniter.RawMessage("true")
	all["stream_options"] = jsoniter.RawMessage(`{"include_usage":true}`)
	return jsoniter.ConfigCompatibleWithStandardLibrary.Marshal(all)
}
