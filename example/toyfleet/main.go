// Command toyfleet runs a fake fleet to try the dispatcher with: readers, writers and a discovery
// agent on loopback addresses. A reader's time depends on the length of the prompt. A writer streams
// the last message of the request back, word by word.
package main

import (
	"flag"
	"fmt"
	"log"
	"os"
	"os/signal"
	"strings"
	"time"

	jsoniter "github.com/json-iterator/go"

	"standpulley/internal/fake"
)

func main() {
	discovery := flag.String("discovery", "127.0.0.1:8501", "`address` of the discovery agent")
	readers := flag.Int("readers", 2, "number of readers")
	writers := flag.Int("writers", 3, "number of writers")
	pace := flag.Duration("pace", 60*time.Millisecond, "time between the words of an answer")
	flag.Parse()

	var list []fake.Entry
	add := func(kind string, n int, act func(*fake.Exchange)) {
		for i := range n {
			r, err := fake.Start("127.0.0.1:0", act)
			if err != nil {
				log.Fatal(err)
			}
			list = append(list, fake.Entry{ID: fmt.Sprintf("%s-%d", kind, i+1), Addr: r.Addr, Zone: "half-way-tree",
				Kind: kind, Cell: 1, State: "in_service", Weight: 1})
		}
	}
	add("prompt-box", *readers, func(x *fake.Exchange) {
		time.Sleep(time.Duration(len(x.Req.Body())) * 20 * time.Microsecond)
		x.Read(0)
	})
	add("answer-box", *writers, func(x *fake.Exchange) {
		x.Head()
		for _, word := range words(x.Req.Body()) {
			x.Token(word + " ")
			time.Sleep(*pace)
		}
		x.End()
	})
	agent, err := fake.StartAgent(*discovery, list...)
	if err != nil {
		log.Fatal(err)
	}
	for _, e := range list {
		log.Printf("%s at %s", e.ID, e.Addr)
	}
	log.Printf("discovery at %s", agent.Addr)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt)
	<-stop
}

// words returns the words of the answer: those of the last message.
func words(body []byte) []string {
	var q struct {
		Messages []struct {
			Content string `json:"content"`
		} `json:"messages"`
	}
	if err := jsoniter.Unmarshal(body, &q); err != nil || len(q.Messages) == 0 {
		return []string{"I", "could", "not", "read", "that."}
	}
	return strings.Fields("You said: " + q.Messages[len(q.Messages)-1].Content)
}
