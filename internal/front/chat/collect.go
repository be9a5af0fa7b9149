package chat

import (
	"bytes"
	"errors"
	"io"
	"sort"

	jsoniter "github.com/json-iterator/go"

	"standpulley/internal/dispatch"
	"standpulley/logic"
)

// maxAnswer bounds the size of the replica's stream when it is assembled for a client that does not
// stream.
const maxAnswer = 256 << 10

// answerCopies is how often an assembled answer is in memory: as it grows, as JSON and in the
// response.
const answerCopies = 3

// answerBytes returns the memory of an answer that is assembled, by the longest output that the
// request asks for.
func answerBytes(spec logic.Request) int {
	return answerCopies * charsPerToken * int(min(spec.MaxOutput, maxAnswer/charsPerToken))
}

// completion is a non-streaming response of the API.
type completion struct {
	ID      string              `json:"id"`
	Object  string              `json:"object"`
	Created int64               `json:"created"`
	Model   string              `json:"model"`
	Choices []choice            `json:"choices"`
	Usage   jsoniter.RawMessage `json:"usage,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Message      reply   `json:"message"`
	FinishReason *string `json:"finish_reason"`
}

type reply struct {
	Role      string     `json:"role"`
	Content   *string    `json:"content"`
	Refusal   *string    `json:"refusal"`
	ToolCalls []toolCall `json:"tool_calls,omitempty"`
}

type toolCall struct {
	Index    int    `json:"-"`
	ID       string `json:"id"`
	Type     string `json:"type"`
	Function struct {
		Name      string `json:"name"`
		Arguments string `json:"arguments"`
	} `json:"function"`
}

// chunk is one event of a stream.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content   *string `json:"content"`
			Refusal   *string `json:"refusal"`
			ToolCalls []struct {
				Index int `json:"index"`
				toolCall
			} `json:"tool_calls"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage jsoniter.RawMessage `json:"usage"`
}

var errTooLong = errors.New("the answer exceeds the size limit of a non-streaming response")

// collect reads a stream to its end and assembles its events into c.
func collect(s dispatch.Stream, c *completion) error {
	var text, refusal bytes.Buffer
	tools := map[int]*toolCall{}
	result := choice{Message: reply{Role: "assistant"}}
	var buffered []byte
	total := 0
	for {
		piece, err := s.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			return err
		}
		if total += len(piece); total > maxAnswer {
			return errTooLong
		}
		buffered = append(buffered, piece...)
		for {
			line, after, complete := bytes.Cut(buffered, []byte("\n"))
			if !complete {
				break
			}
			buffered = after
			data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data:"))
			if data = bytes.TrimSpace(data); !ok || string(data) == "[DONE]" {
				continue
			}
			var event chunk
			if err := jsoniter.Unmarshal(data, &event); err != nil {
				return err
			}
			if len(event.Usage) > 0 && string(event.Usage) != "null" {
				c.Usage = append(jsoniter.RawMessage(nil), event.Usage...)
			}
			for _, x := range event.Choices {
				if x.Delta.Content != nil {
					text.WriteString(*x.Delta.Content)
				}
				if x.Delta.Refusal != nil {
					refusal.WriteString(*x.Delta.Refusal)
				}
				if x.FinishReason != nil {
					result.FinishReason = x.FinishReason
				}
				for _, t := range x.Delta.ToolCalls {
					call := tools[t.Index]
					if call == nil {
						call = &toolCall{Index: t.Index, Type: "function"}
						tools[t.Index] = call
					}
					call.ID += t.ID
					call.Function.Name += t.Function.Name
					call.Function.Arguments += t.Function.Arguments
				}
			}
		}
	}
	for _, t := range tools {
		result.Message.ToolCalls = append(result.Message.ToolCalls, *t)
	}
	sort.Slice(result.Message.ToolCalls, func(i, j int) bool { return result.Message.ToolCalls[i].Index < result.Message.ToolCalls[j].Index })
	if text.Len() > 0 || len(tools) == 0 {
		content := text.String()
		result.Message.Content = &content
	}
	if refusal.Len() > 0 {
		refusalText := refusal.String()
		result.Message.Refusal = &refusalText
	}
	c.Choices = []choice{result}
	return nil
}
