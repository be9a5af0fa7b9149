package soak

import (
	"strings"
	"syscall"
	"testing"
	"time"
)

// story makes a record of one request at n0, which ran all the time, from what was seen of it.
func story(a Asked, notes ...Note) Record {
	began := time.Now()
	at := func(ms int64) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	shift := func(t time.Time) time.Time {
		if t.IsZero() {
			return t
		}
		return at(t.UnixMilli())
	}
	a.ID, a.Who, a.Sent = "a", "n0", began
	a.Left, a.First, a.Done = shift(a.Left), shift(a.First), shift(a.Done)
	if a.Patience == 0 {
		a.Patience = 2 * time.Second
	}
	for i := range notes {
		notes[i].ID, notes[i].At = "a", shift(notes[i].At)
	}
	life := &Life{Started: began.Add(-time.Second), Ready: began, Told: at(20000), Gone: at(20500)}
	return Record{Began: began, Scenario: Scenario{Length: 10 * time.Second}, Asked: []Asked{a}, Notes: notes, Lives: map[string][]*Life{"n0": {life}}}
}

func ms(n int64) time.Time { return time.UnixMilli(n) }

// Each rule is found where it is broken, and not where it is kept.
func TestJudgeFindsWhatIsBroken(t *testing.T) {
	read := []Note{{At: ms(1), Replica: "r0", Kind: Taken}, {At: ms(100), Replica: "r0", Kind: ReadDone}, {At: ms(100), Replica: "r0", Kind: Ended}}
	run := []Note{{At: ms(101), Replica: "w0", Kind: Taken}, {At: ms(101), Replica: "w0", Kind: Fetch}, {At: ms(150), Replica: "w0", Kind: Ran}}
	whole := append(append([]Note{}, read...), append(run, Note{At: ms(300), Replica: "w0", Kind: Finished}, Note{At: ms(300), Replica: "w0", Kind: Ended})...)
	served := Asked{Status: 200, First: ms(150), Done: ms(300), Whole: true}
	with := func(notes []Note, more ...Note) []Note { return append(append([]Note{}, notes...), more...) }
	for name, c := range map[string]struct {
		rec  Record
		rule string // empty: kept
	}{
		"served":                     {story(served, with(whole)...), ""},
		"held too long":              {story(Asked{Status: 502, First: ms(1400), Done: ms(1400)}, with(read, Note{At: ms(1300), Replica: "r1", Kind: Released})...), RuleHeld},
		"released in time":           {story(Asked{Status: 502, First: ms(800), Done: ms(800)}, with(read, Note{At: ms(700), Replica: "r1", Kind: Released})...), ""},
		"held to the end":            {story(Asked{Status: 502, First: ms(800), Done: ms(800)}, with(read)...), RuleHeld},
		"answered too late":          {story(Asked{Status: 503, First: ms(3000), Done: ms(3000), Whole: true}), RuleLost},
		"no answer, new":             {story(Asked{New: true, Done: ms(5), Why: "EOF"}), RuleLost},
		"crossed":                    {story(Asked{Done: ms(5), Why: "EOF"}), ""},
		"crossed, and forwarded":     {story(Asked{Done: ms(500), Why: "EOF"}, with(whole)...), RuleLost},
		"a stream was cut":           {story(Asked{Status: 200, First: ms(150), Done: ms(250), Why: "EOF"}, with(whole)...), RuleLost},
		"whole, though it broke":     {story(served, with(read, run...)...), RuleLost},
		"a foreign piece":            {story(Asked{Status: 200, First: ms(150), Done: ms(300), Whole: true, Foreign: "b"}, with(whole)...), RuleLost},
		"forwarded after the client": {story(Asked{Left: ms(10), Done: ms(10)}, Note{At: ms(900), Replica: "r0", Kind: Taken}, Note{At: ms(910), Replica: "r0", Kind: Ended}), RuleForwarded},
		"ran twice":                  {story(Asked{Class: "instruction", Status: 200, First: ms(150), Done: ms(300), Whole: true}, with(whole, Note{At: ms(310), Replica: "w1", Kind: Ran})...), RuleDuplicate},
		"ran and refused":            {story(Asked{Class: "instruction", Status: 503, First: ms(400), Done: ms(400), Whole: true}, with(whole)...), RuleDuplicate},
	} {
		findings, _ := Judge(c.rec)
		if c.rule == "" && len(findings) > 0 || c.rule != "" && (len(findings) == 0 || findings[0].Rule != c.rule) {
			t.Errorf("%s: found %v", name, findings)
		}
	}
}

// A state that nobody lets go of is excused where SIGKILL ended its dispatcher before its time, and only there. The text tells that it was
// never let go of, and no time that was not seen.
func TestOnlySIGKILLExcusesWhatIsHeld(t *testing.T) {
	read := []Note{{At: ms(1), Replica: "r0", Kind: Taken}, {At: ms(100), Replica: "r0", Kind: ReadDone}, {At: ms(100), Replica: "r0", Kind: Ended}}
	for name, c := range map[string]struct {
		end  func(l *Life)
		kept bool
	}{
		"ended by itself":                {func(l *Life) {}, false},
		"killed":                         {func(l *Life) { l.Killed, l.Code = l.Gone, killedCode }, true},
		"killed after it had let go":     {func(l *Life) { l.Killed, l.Code, l.Gone = l.Gone.Add(time.Second), killedCode, l.Gone.Add(time.Second) }, false},
		"ended by itself as it was shot": {func(l *Life) { l.Killed = l.Gone }, false},
	} {
		rec := story(Asked{Status: 502, First: ms(150), Done: ms(150)}, append([]Note{}, read...)...)
		rec.Ended = rec.Began.Add(12 * time.Second)
		l := rec.Lives["n0"][0]
		l.Told, l.Gone = rec.Began.Add(120*time.Millisecond), rec.Began.Add(300*time.Millisecond)
		c.end(l)
		findings, f := Judge(rec)
		if kept := len(findings) == 0; kept != c.kept {
			t.Errorf("%s: found %v", name, findings)
		}
		if f.Longest > 12*time.Second {
			t.Errorf("%s: held for %v in a run of 12 s", name, f.Longest)
		}
		if !c.kept && len(findings) > 0 && !strings.Contains(findings[0].Text, "to 12.000 (never let go)") {
			t.Errorf("%s: %s", name, findings[0].Text)
		}
	}
}

// A request is judged by the process that took it, also where the one before had ended only a moment ago (seeds 530 and 544).
func TestRequestBelongsToTheProcessThatTookIt(t *testing.T) {
	rec := story(Asked{New: true, Status: 200, First: ms(20), Done: ms(300), Why: "EOF"}, Note{At: ms(10), Replica: "w0", Kind: Taken})
	now := rec.Lives["n0"][0]
	now.Started, now.Ready, now.Told = rec.Began.Add(-50*time.Millisecond), rec.Began.Add(-40*time.Millisecond), rec.Began.Add(200*time.Millisecond)
	now.Killed, now.Gone, now.Code = rec.Began.Add(300*time.Millisecond), rec.Began.Add(300*time.Millisecond), killedCode
	before := &Life{Started: rec.Began.Add(-2 * time.Second), Ready: rec.Began.Add(-2 * time.Second), Told: rec.Began.Add(-time.Second), Gone: rec.Began.Add(-500 * time.Millisecond)}
	rec.Lives["n0"] = []*Life{before, now}
	if findings, _ := Judge(rec); len(findings) > 0 {
		t.Errorf("killed under a stream that it took before SIGTERM: %v", findings)
	}
	now.Killed, now.Code = time.Time{}, 0
	if findings, _ := Judge(rec); len(findings) == 0 {
		t.Error("a stream that was cut by a process that ended by itself: nothing is found")
	}
}

// How dispatchers end is judged, and what they say of themselves.
func TestJudgeFindsCrashes(t *testing.T) {
	for name, change := range map[string]func(r *Record, l *Life){
		"ended by itself":                         func(_ *Record, l *Life) { l.Told = time.Time{} },
		"ended with an error":                     func(_ *Record, l *Life) { l.Code = 2 },
		"ended with an error before it was ready": func(_ *Record, l *Life) { l.Code, l.Ready = 2, time.Time{} },
		"ended by SIGTERM while it served":        func(_ *Record, l *Life) { l.Code, l.Signal = killedCode, syscall.SIGTERM },
		"ended by SIGHUP before it was ready": func(_ *Record, l *Life) {
			l.Code, l.Signal, l.Ready, l.Told = killedCode, syscall.SIGHUP, time.Time{}, time.Time{}
		},
		"did not end":         func(_ *Record, l *Life) { l.Gone = time.Time{} },
		"panicked":            func(r *Record, _ *Life) { r.Logs = map[string]string{"n0": "panic: x\n"} },
		"found a broken rule": func(r *Record, _ *Life) { r.Logs = map[string]string{"n0": "1 a violated: held_too_long\n"} },
		"sent to who drains": func(r *Record, _ *Life) {
			r.Drains = []Drain{{"r0", r.Began}}
			r.Notes = []Note{{r.Began.Add(3 * time.Second), "r0", Taken, "a"}}
		},
		"held a client for 4 s": func(r *Record, _ *Life) { r.Bad = []string{"4 s"} },
	} {
		rec := story(Asked{Status: 502, First: ms(5), Done: ms(5)})
		if findings, _ := Judge(rec); len(findings) > 0 {
			t.Fatalf("before: %v", findings)
		}
		change(&rec, rec.Lives["n0"][0])
		if findings, _ := Judge(rec); len(findings) == 0 {
			t.Errorf("%s: nothing is found", name)
		}
	}
	if story := Draw(7, 1, 10*time.Second).Story(); story != Draw(7, 1, 10*time.Second).Story() || !strings.Contains(story, "seed 7") {
		t.Error("a seed draws different stories")
	}
}
