package soak

import (
	"strings"
	"syscall"
	"testing"
	"time"
)

// record returns the record of one request at n0, which ran all the time. Times are in ms from the
// start of the run.
func record(a Request, reports ...Report) Record {
	began := time.Now()
	at := func(ms int64) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	fromStart := func(t time.Time) time.Time {
		if t.IsZero() {
			return t
		}
		return at(t.UnixMilli())
	}
	a.ID, a.Dispatcher, a.Sent = "a", "n0", began
	a.ClientClosed, a.FirstByte, a.Done, a.LastEvent = fromStart(a.ClientClosed), fromStart(a.FirstByte), fromStart(a.Done), fromStart(a.LastEvent)
	if a.LastEvent.IsZero() {
		a.LastEvent = a.Done
	}
	if a.Timeout == 0 {
		a.Timeout = 2 * time.Second
	}
	for i := range reports {
		reports[i].ID, reports[i].At = "a", fromStart(reports[i].At)
	}
	process := &Process{Started: began.Add(-time.Second), Ready: began, TermSent: at(20000), Exited: at(20500)}
	return Record{Started: began, Scenario: Scenario{Length: 10 * time.Second}, Requests: []Request{a}, Reports: reports, Processes: map[string][]*Process{"n0": {process}}}
}

func ms(n int64) time.Time { return time.UnixMilli(n) }

// TestJudgeFindsEachViolation checks that Judge reports a violation of each rule, and nothing for a
// run that follows the rules.
func TestJudgeFindsEachViolation(t *testing.T) {
	read := []Report{{At: ms(1), Replica: "r0", Kind: Received}, {At: ms(100), Replica: "r0", Kind: ReadDone}, {At: ms(100), Replica: "r0", Kind: Ended}}
	run := []Report{{At: ms(101), Replica: "w0", Kind: Received}, {At: ms(101), Replica: "w0", Kind: Fetch}, {At: ms(150), Replica: "w0", Kind: StreamStarted}}
	whole := append(append([]Report{}, read...), append(run, Report{At: ms(300), Replica: "w0", Kind: Finished}, Report{At: ms(300), Replica: "w0", Kind: Ended})...)
	served := Request{Status: 200, FirstByte: ms(150), Done: ms(300), Complete: true}
	with := func(reports []Report, more ...Report) []Report {
		return append(append([]Report{}, reports...), more...)
	}
	for name, c := range map[string]struct {
		rec  Record
		rule string // empty: no violation
	}{
		"served":                     {record(served, with(whole)...), ""},
		"held too long":              {record(Request{Status: 502, FirstByte: ms(1400), Done: ms(1400)}, with(read, Report{At: ms(1300), Replica: "r1", Kind: Released})...), RuleHeld},
		"released in time":           {record(Request{Status: 502, FirstByte: ms(800), Done: ms(800)}, with(read, Report{At: ms(700), Replica: "r1", Kind: Released})...), ""},
		"held to the end":            {record(Request{Status: 502, FirstByte: ms(800), Done: ms(800)}, with(read)...), RuleHeld},
		"answered too late":          {record(Request{Status: 503, FirstByte: ms(3000), Done: ms(3000), Complete: true}), RuleLost},
		"no answer, new":             {record(Request{FirstOnConn: true, Done: ms(5), EndReason: "EOF"}), RuleLost},
		"closed between requests":    {record(Request{Done: ms(5), EndReason: "EOF"}), ""},
		"closed, but forwarded":      {record(Request{Done: ms(500), EndReason: "EOF"}, with(whole)...), RuleLost},
		"truncated stream":           {record(Request{Status: 200, FirstByte: ms(150), Done: ms(250), EndReason: "EOF"}, with(whole)...), RuleLost},
		"spoilt stream":              {record(Request{Status: 200, FirstByte: ms(150), LastEvent: ms(160), Done: ms(250), EndReason: "EOF"}, with(run, Report{At: ms(160), Replica: "w0", Kind: Spoilt, Detail: "b"})...), ""},
		"spoilt stream, left open":   {record(Request{Status: 200, FirstByte: ms(150), LastEvent: ms(160), Done: ms(5500), EndReason: "EOF"}, with(run, Report{At: ms(160), Replica: "w0", Kind: Spoilt, Detail: "b"})...), RuleLost},
		"spoilt stream, ended whole": {record(served, with(read, append(run, Report{At: ms(160), Replica: "w0", Kind: Spoilt, Detail: "b"})...)...), RuleLost},
		"complete, never finished":   {record(served, with(read, run...)...), RuleLost},
		"foreign token":              {record(Request{Status: 200, FirstByte: ms(150), Done: ms(300), Complete: true, StreamError: "b"}, with(whole)...), RuleLost},
		"forwarded after the client": {record(Request{ClientClosed: ms(10), Done: ms(10)}, Report{At: ms(900), Replica: "r0", Kind: Received}, Report{At: ms(910), Replica: "r0", Kind: Ended}), RuleForwarded},
		"ran twice":                  {record(Request{Class: "instruction", Status: 200, FirstByte: ms(150), Done: ms(300), Complete: true}, with(whole, Report{At: ms(310), Replica: "w1", Kind: StreamStarted})...), RuleDuplicate},
		"ran and refused":            {record(Request{Class: "instruction", Status: 503, FirstByte: ms(400), Done: ms(400), Complete: true}, with(whole)...), RuleDuplicate},
	} {
		findings, _ := Judge(c.rec)
		if c.rule == "" && len(findings) > 0 || c.rule != "" && (len(findings) == 0 || findings[0].Rule != c.rule) {
			t.Errorf("%s: found %v", name, findings)
		}
	}
}

// TestOnlySIGKILLExcusesHeldState checks that state that is never released is excused only if
// SIGKILL ended its dispatcher before the release was due. The finding must say that the state was
// never released, and must not give a time after the end of the run.
func TestOnlySIGKILLExcusesHeldState(t *testing.T) {
	read := []Report{{At: ms(1), Replica: "r0", Kind: Received}, {At: ms(100), Replica: "r0", Kind: ReadDone}, {At: ms(100), Replica: "r0", Kind: Ended}}
	for name, c := range map[string]struct {
		end     func(l *Process)
		excused bool
	}{
		"exited by itself": {func(l *Process) {}, false},
		"killed":           {func(l *Process) { l.KillSent, l.ExitCode = l.Exited, signaledExitCode }, true},
		"killed after the release was due": {func(l *Process) {
			l.KillSent, l.ExitCode, l.Exited = l.Exited.Add(time.Second), signaledExitCode, l.Exited.Add(time.Second)
		}, false},
		"exited by itself before SIGKILL": {func(l *Process) { l.KillSent = l.Exited }, false},
	} {
		rec := record(Request{Status: 502, FirstByte: ms(150), Done: ms(150)}, append([]Report{}, read...)...)
		rec.Ended = rec.Started.Add(12 * time.Second)
		l := rec.Processes["n0"][0]
		l.TermSent, l.Exited = rec.Started.Add(120*time.Millisecond), rec.Started.Add(300*time.Millisecond)
		c.end(l)
		findings, f := Judge(rec)
		if excused := len(findings) == 0; excused != c.excused {
			t.Errorf("%s: found %v", name, findings)
		}
		if f.LongestHeld > 12*time.Second {
			t.Errorf("%s: held for %v in a run of 12 s", name, f.LongestHeld)
		}
		if !c.excused && len(findings) > 0 && !strings.Contains(findings[0].Text, "to 12.000 (never released)") {
			t.Errorf("%s: %s", name, findings[0].Text)
		}
	}
}

// TestRequestIsJudgedByTheProcessThatServedIt guards against a failure of the judge with seeds 530
// and 544: it matched a request to the previous process of the dispatcher, which had exited less
// than a second before the request was sent.
func TestRequestIsJudgedByTheProcessThatServedIt(t *testing.T) {
	rec := record(Request{FirstOnConn: true, Status: 200, FirstByte: ms(20), Done: ms(300), EndReason: "EOF"}, Report{At: ms(10), Replica: "w0", Kind: Received})
	now := rec.Processes["n0"][0]
	now.Started, now.Ready, now.TermSent = rec.Started.Add(-50*time.Millisecond), rec.Started.Add(-40*time.Millisecond), rec.Started.Add(200*time.Millisecond)
	now.KillSent, now.Exited, now.ExitCode = rec.Started.Add(300*time.Millisecond), rec.Started.Add(300*time.Millisecond), signaledExitCode
	before := &Process{Started: rec.Started.Add(-2 * time.Second), Ready: rec.Started.Add(-2 * time.Second), TermSent: rec.Started.Add(-time.Second), Exited: rec.Started.Add(-500 * time.Millisecond)}
	rec.Processes["n0"] = []*Process{before, now}
	if findings, _ := Judge(rec); len(findings) > 0 {
		t.Errorf("killed during a stream that began before SIGTERM: %v", findings)
	}
	now.KillSent, now.ExitCode = time.Time{}, 0
	if findings, _ := Judge(rec); len(findings) == 0 {
		t.Error("stream truncated by a process that exited by itself: no finding")
	}
}

// TestJudgeFindsCrashes checks that Judge reports dispatchers that exit wrongly, log a violation,
// send to a draining replica or keep a stalled client waiting.
func TestJudgeFindsCrashes(t *testing.T) {
	for name, change := range map[string]func(r *Record, l *Process){
		"exited by itself":                         func(_ *Record, l *Process) { l.TermSent = time.Time{} },
		"exited with an error":                     func(_ *Record, l *Process) { l.ExitCode = 2 },
		"exited with an error before it was ready": func(_ *Record, l *Process) { l.ExitCode, l.Ready = 2, time.Time{} },
		"ended by SIGTERM after it was ready":      func(_ *Record, l *Process) { l.ExitCode, l.Signal = signaledExitCode, syscall.SIGTERM },
		"ended by SIGHUP before it was ready": func(_ *Record, l *Process) {
			l.ExitCode, l.Signal, l.Ready, l.TermSent = signaledExitCode, syscall.SIGHUP, time.Time{}, time.Time{}
		},
		"did not exit":           func(_ *Record, l *Process) { l.Exited = time.Time{} },
		"panicked":               func(r *Record, _ *Process) { r.Logs = map[string]string{"n0": "panic: x\n"} },
		"logged a violated rule": func(r *Record, _ *Process) { r.Logs = map[string]string{"n0": "1 a violated: held_too_long\n"} },
		"sent to a draining replica": func(r *Record, _ *Process) {
			r.Drains = []Drain{{"r0", r.Started}}
			r.Reports = []Report{{At: r.Started.Add(3 * time.Second), Replica: "r0", Kind: Received, ID: "a"}}
		},
		"kept a client waiting for 4 s": func(r *Record, _ *Process) { r.Problems = []string{"4 s"} },
	} {
		rec := record(Request{Status: 502, FirstByte: ms(5), Done: ms(5)})
		if findings, _ := Judge(rec); len(findings) > 0 {
			t.Fatalf("before the change: %v", findings)
		}
		change(&rec, rec.Processes["n0"][0])
		if findings, _ := Judge(rec); len(findings) == 0 {
			t.Errorf("%s: no finding", name)
		}
	}
	if story := Generate(7, 1, 10*time.Second).Describe(); story != Generate(7, 1, 10*time.Second).Describe() || !strings.Contains(story, "seed 7") {
		t.Error("the same seed gives different scenarios")
	}
}
