package soak

import (
	"strings"
	"syscall"
	"testing"
	"time"
)

// story makes a record of one request at n0, which ran all the time, from what was seen of it.
func record(a Request, notes ...Report) Record {
	began := time.Now()
	at := func(ms int64) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	fromStart := func(t time.Time) time.Time {
		if t.IsZero() {
			return t
		}
		return at(t.UnixMilli())
	}
	a.ID, a.Dispatcher, a.Sent = "a", "n0", began
	a.ClientClosed, a.FirstByte, a.Done = fromStart(a.ClientClosed), fromStart(a.FirstByte), fromStart(a.Done)
	if a.Timeout == 0 {
		a.Timeout = 2 * time.Second
	}
	for i := range notes {
		notes[i].ID, notes[i].At = "a", fromStart(notes[i].At)
	}
	life := &Process{Started: began.Add(-time.Second), Ready: began, TermSent: at(20000), Exited: at(20500)}
	return Record{Started: began, Scenario: Scenario{Length: 10 * time.Second}, Requests: []Request{a}, Reports: notes, Processes: map[string][]*Process{"n0": {life}}}
}

func ms(n int64) time.Time { return time.UnixMilli(n) }

// Each rule is found where it is broken, and not where it is kept.
func TestJudgeFindsEachViolation(t *testing.T) {
	read := []Report{{At: ms(1), Replica: "r0", Kind: Received}, {At: ms(100), Replica: "r0", Kind: ReadDone}, {At: ms(100), Replica: "r0", Kind: Ended}}
	run := []Report{{At: ms(101), Replica: "w0", Kind: Received}, {At: ms(101), Replica: "w0", Kind: Fetch}, {At: ms(150), Replica: "w0", Kind: StreamStarted}}
	whole := append(append([]Report{}, read...), append(run, Report{At: ms(300), Replica: "w0", Kind: Finished}, Report{At: ms(300), Replica: "w0", Kind: Ended})...)
	served := Request{Status: 200, FirstByte: ms(150), Done: ms(300), Complete: true}
	with := func(notes []Report, more ...Report) []Report { return append(append([]Report{}, notes...), more...) }
	for name, c := range map[string]struct {
		rec  Record
		rule string // empty: kept
	}{
		"served":                     {record(served, with(whole)...), ""},
		"held too long":              {record(Request{Status: 502, FirstByte: ms(1400), Done: ms(1400)}, with(read, Report{At: ms(1300), Replica: "r1", Kind: Released})...), RuleHeld},
		"released in time":           {record(Request{Status: 502, FirstByte: ms(800), Done: ms(800)}, with(read, Report{At: ms(700), Replica: "r1", Kind: Released})...), ""},
		"held to the end":            {record(Request{Status: 502, FirstByte: ms(800), Done: ms(800)}, with(read)...), RuleHeld},
		"answered too late":          {record(Request{Status: 503, FirstByte: ms(3000), Done: ms(3000), Complete: true}), RuleLost},
		"no answer, new":             {record(Request{FirstOnConn: true, Done: ms(5), EndReason: "EOF"}), RuleLost},
		"crossed":                    {record(Request{Done: ms(5), EndReason: "EOF"}), ""},
		"crossed, and forwarded":     {record(Request{Done: ms(500), EndReason: "EOF"}, with(whole)...), RuleLost},
		"a stream was cut":           {record(Request{Status: 200, FirstByte: ms(150), Done: ms(250), EndReason: "EOF"}, with(whole)...), RuleLost},
		"whole, though it broke":     {record(served, with(read, run...)...), RuleLost},
		"a foreign piece":            {record(Request{Status: 200, FirstByte: ms(150), Done: ms(300), Complete: true, StreamError: "b"}, with(whole)...), RuleLost},
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

// A state that nobody lets go of is excused where SIGKILL ended its dispatcher before its time, and only there. The text tells that it was
// never let go of, and no time that was not seen.
func TestOnlySIGKILLExcusesHeldState(t *testing.T) {
	read := []Report{{At: ms(1), Replica: "r0", Kind: Received}, {At: ms(100), Replica: "r0", Kind: ReadDone}, {At: ms(100), Replica: "r0", Kind: Ended}}
	for name, c := range map[string]struct {
		end  func(l *Process)
		kept bool
	}{
		"ended by itself": {func(l *Process) {}, false},
		"killed":          {func(l *Process) { l.KillSent, l.ExitCode = l.Exited, signaledExitCode }, true},
		"killed after it had let go": {func(l *Process) {
			l.KillSent, l.ExitCode, l.Exited = l.Exited.Add(time.Second), signaledExitCode, l.Exited.Add(time.Second)
		}, false},
		"ended by itself as it was shot": {func(l *Process) { l.KillSent = l.Exited }, false},
	} {
		rec := record(Request{Status: 502, FirstByte: ms(150), Done: ms(150)}, append([]Report{}, read...)...)
		rec.Ended = rec.Started.Add(12 * time.Second)
		l := rec.Processes["n0"][0]
		l.TermSent, l.Exited = rec.Started.Add(120*time.Millisecond), rec.Started.Add(300*time.Millisecond)
		c.end(l)
		findings, f := Judge(rec)
		if kept := len(findings) == 0; kept != c.kept {
			t.Errorf("%s: found %v", name, findings)
		}
		if f.LongestHeld > 12*time.Second {
			t.Errorf("%s: held for %v in a run of 12 s", name, f.LongestHeld)
		}
		if !c.kept && len(findings) > 0 && !strings.Contains(findings[0].Text, "to 12.000 (never let go)") {
			t.Errorf("%s: %s", name, findings[0].Text)
		}
	}
}

// A request is judged by the process that took it, also where the one before had ended only a moment ago (seeds 530 and 544).
func TestRequestIsJudgedByTheProcessThatServedIt(t *testing.T) {
	rec := record(Request{FirstOnConn: true, Status: 200, FirstByte: ms(20), Done: ms(300), EndReason: "EOF"}, Report{At: ms(10), Replica: "w0", Kind: Received})
	now := rec.Processes["n0"][0]
	now.Started, now.Ready, now.TermSent = rec.Started.Add(-50*time.Millisecond), rec.Started.Add(-40*time.Millisecond), rec.Started.Add(200*time.Millisecond)
	now.KillSent, now.Exited, now.ExitCode = rec.Started.Add(300*time.Millisecond), rec.Started.Add(300*time.Millisecond), signaledExitCode
	before := &Process{Started: rec.Started.Add(-2 * time.Second), Ready: rec.Started.Add(-2 * time.Second), TermSent: rec.Started.Add(-time.Second), Exited: rec.Started.Add(-500 * time.Millisecond)}
	rec.Processes["n0"] = []*Process{before, now}
	if findings, _ := Judge(rec); len(findings) > 0 {
		t.Errorf("killed under a stream that it took before SIGTERM: %v", findings)
	}
	now.KillSent, now.ExitCode = time.Time{}, 0
	if findings, _ := Judge(rec); len(findings) == 0 {
		t.Error("a stream that was cut by a process that ended by itself: nothing is found")
	}
}

// How dispatchers end is judged, and what they say of themselves.
func TestJudgeFindsCrashes(t *testing.T) {
	for name, change := range map[string]func(r *Record, l *Process){
		"ended by itself":                         func(_ *Record, l *Process) { l.TermSent = time.Time{} },
		"ended with an error":                     func(_ *Record, l *Process) { l.ExitCode = 2 },
		"ended with an error before it was ready": func(_ *Record, l *Process) { l.ExitCode, l.Ready = 2, time.Time{} },
		"ended by SIGTERM while it served":        func(_ *Record, l *Process) { l.ExitCode, l.Signal = signaledExitCode, syscall.SIGTERM },
		"ended by SIGHUP before it was ready": func(_ *Record, l *Process) {
			l.ExitCode, l.Signal, l.Ready, l.TermSent = signaledExitCode, syscall.SIGHUP, time.Time{}, time.Time{}
		},
		"did not end":         func(_ *Record, l *Process) { l.Exited = time.Time{} },
		"panicked":            func(r *Record, _ *Process) { r.Logs = map[string]string{"n0": "panic: x\n"} },
		"found a broken rule": func(r *Record, _ *Process) { r.Logs = map[string]string{"n0": "1 a violated: held_too_long\n"} },
		"sent to who drains": func(r *Record, _ *Process) {
			r.Drains = []Drain{{"r0", r.Started}}
			r.Reports = []Report{{r.Started.Add(3 * time.Second), "r0", Received, "a"}}
		},
		"held a client for 4 s": func(r *Record, _ *Process) { r.Problems = []string{"4 s"} },
	} {
		rec := record(Request{Status: 502, FirstByte: ms(5), Done: ms(5)})
		if findings, _ := Judge(rec); len(findings) > 0 {
			t.Fatalf("before: %v", findings)
		}
		change(&rec, rec.Processes["n0"][0])
		if findings, _ := Judge(rec); len(findings) == 0 {
			t.Errorf("%s: nothing is found", name)
		}
	}
	if story := Generate(7, 1, 10*time.Second).Describe(); story != Generate(7, 1, 10*time.Second).Describe() || !strings.Contains(story, "seed 7") {
		t.Error("a seed draws different stories")
	}
}
