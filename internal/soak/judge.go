package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Finding is one violation of a rule.
type Finding struct{ Rule, Text string }

func (f Finding) String() string { return f.Rule + ": " + f.Text }

// The rules that a run is checked against.
const (
	RuleHeld      = "held"      // state was neither fetched nor released in time
	RuleLost      = "lost"      // a request got no final answer, a late or wrong one, or a truncated stream
	RuleForwarded = "forwarded" // an attempt was sent after its request had ended
	RuleDuplicate = "duplicate" // a request that must not run twice did, or was refused although it may have run
	RuleDrain     = "drain"     // an attempt was sent to a replica that was listed as draining
	RuleCrash     = "crash"     // a dispatcher exited by itself, or logged a violation of its own rules
	RuleClient    = "client"    // a client that stopped in the middle of a request waited too long
)

const (
	releaseSlack    = 300 * time.Millisecond // added by the protocol to the time for which state may be held
	forwardSlack    = 100 * time.Millisecond // an attempt may still start this long after the end of its request
	termGrace       = 700 * time.Millisecond // requests sent later after SIGTERM need an answer before SIGKILL
	eventDelayMax   = 300 * time.Millisecond // from a replica's write of a stream event to the client's read
	delayedShareMax = 0.1                    // share of the streams that may have an event with a longer delay
	reportDelay     = 60 * time.Millisecond  // allowed between a send and the report of its arrival
)

// Figures holds the counts of a run.
type Figures struct {
	Requests, Served, Refused, Failed, ClientClosed, Unanswered, ClosedUnread int
	DelayedStreams                                                            int
	LongestHeld                                                               time.Duration // for which state was held
}

// judge checks a record against the rules.
type judge struct {
	Record
	slack     time.Duration // added to all limits for the time that this machine was stalled
	byRequest map[string][]Report
	findings  []Finding
	figures   Figures
}

// Judge checks a record and returns the violations and the counts.
func Judge(rec Record) ([]Finding, Figures) {
	j := &judge{Record: rec, slack: reportDelay + 2*rec.Stall, byRequest: map[string][]Report{}}
	slices.SortStableFunc(j.Reports, func(a, b Report) int { return a.At.Compare(b.At) })
	for _, n := range j.Reports {
		j.byRequest[n.ID] = append(j.byRequest[n.ID], n)
	}
	for i := range j.Requests {
		a := &j.Requests[i]
		j.checkAnswer(a)
		j.checkForwarded(a)
		j.checkHeld(a)
		j.checkRepeated(a)
	}
	if n := j.figures.Served; n > 50 && float64(j.figures.DelayedStreams) > delayedShareMax*float64(n) && rec.Stall < eventDelayMax/3 {
		j.addFinding(RuleLost, "%d of %d streams have an event that was delayed", j.figures.DelayedStreams, n)
	}
	j.checkDrains()
	j.checkProcesses()
	j.checkRepeatedIDs()
	j.checkMemory()
	for _, text := range rec.Problems {
		j.addFinding(RuleClient, "%s", text)
	}
	return j.findings, j.figures
}

func (j *judge) addFinding(rule, form string, args ...any) {
	j.findings = append(j.findings, Finding{rule, fmt.Sprintf(form, args...)})
}

// sinceStart formats a time as seconds since the start of the run.
func (j *judge) sinceStart(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return fmt.Sprintf("%.3f", t.Sub(j.Started).Seconds())
}

// processAt returns the dispatcher process that was running at t, or that had exited less than a
// second before and had not been replaced.
func (j *judge) processAt(name string, t time.Time) *Process {
	for _, l := range slices.Backward(j.Processes[name]) {
		if !t.Before(l.Started) && (l.Exited.IsZero() || t.Before(l.Exited.Add(time.Second))) {
			return l
		}
	}
	return nil
}

// killedDuring reports whether SIGKILL ended the dispatcher while the request was open, and the
// request was sent early enough for that to excuse a missing answer.
func (j *judge) killedDuring(a *Request) bool {
	l := j.processAt(a.Dispatcher, a.Sent)
	if l == nil || l.KillSent.IsZero() || a.Done.Before(l.KillSent.Add(-j.slack)) {
		return false
	}
	return l.TermSent.IsZero() || a.Sent.Before(l.TermSent.Add(termGrace))
}

// checkAnswer checks the final answer of a request.
func (j *judge) checkAnswer(a *Request) {
	f := &j.figures
	f.Requests++
	lost := func(form string, args ...any) {
		j.addFinding(RuleLost, "%s %s at %s from %s, first on its connection %v, paused after %d, sent %s, timeout %v, done %s: %s", a.ID, a.Class, a.Dispatcher, a.ClientAddr, a.FirstOnConn, a.PausedAfter,
			j.sinceStart(a.Sent), a.Timeout, j.sinceStart(a.Done), fmt.Sprintf(form, args...))
	}
	if a.StreamError != "" && a.ClientClosed.IsZero() {
		lost("%s", a.StreamError)
	}
	switch {
	case !a.ClientClosed.IsZero():
		f.ClientClosed++
		return
	case a.Status == 0:
		j.checkUnanswered(a, lost)
		return
	case a.Status == http.StatusOK:
		f.Served++
	case a.Status == http.StatusServiceUnavailable:
		f.Refused++
	default:
		f.Failed++
	}
	if late := a.FirstByte.Sub(a.Sent.Add(a.Timeout)); late > answerSlack+pauseMax+j.slack {
		lost("status %d came %v after the client's timeout", a.Status, late)
	}
	if a.Status != http.StatusOK {
		return
	}
	if a.MaxEventDelay > eventDelayMax+pauseMax+j.slack {
		f.DelayedStreams++
	}
	j.checkLeftWaiting(a, lost)
	finished := slices.ContainsFunc(j.byRequest[a.ID], func(n Report) bool { return n.Kind == Finished })
	switch {
	case a.Complete && !finished:
		lost("the stream is complete, but no replica finished it")
	case !a.Complete && !j.killedDuring(a) && !j.replicaWasFaulty(a) && j.spoiltAs(a) == "":
		lost("stream truncated after %d tokens: %s", a.Tokens, a.EndReason)
	}
}

// checkUnanswered checks a connection that ended without an answer.
func (j *judge) checkUnanswered(a *Request, lost func(string, ...any)) {
	f := &j.figures
	received := slices.ContainsFunc(j.byRequest[a.ID], func(n Report) bool { return n.Kind == Received })
	switch {
	case j.killedDuring(a):
		f.Unanswered++
	// The dispatcher closed an idle connection while the client sent the request.
	case !a.FirstOnConn && !received && !strings.Contains(a.EndReason, "timeout"):
		f.ClosedUnread++
	case a.FirstOnConn && !received && j.HadIdleClients[a.Dispatcher] && !strings.Contains(a.EndReason, "timeout"):
		f.ClosedUnread++
	default:
		lost("no answer, received by a replica %v: %s", received, a.EndReason)
	}
}

// replicaWasFaulty reports whether the replica that produced a stream, or the link to it, was
// faulty while the stream ran. Such a fault excuses a truncated stream.
func (j *judge) replicaWasFaulty(a *Request) bool {
	for _, n := range j.byRequest[a.ID] {
		if n.Kind == StreamStarted && j.faultyBetween(n.Replica, n.At, a.Done) {
			return true
		}
	}
	return false
}

func (j *judge) faultyBetween(replica string, from, to time.Time) bool {
	for _, s := range j.FaultPeriods[replica] {
		if s.From.Before(to.Add(j.slack)) && (s.To.IsZero() || s.To.After(from.Add(-j.slack))) {
			return true
		}
	}
	return false
}

// checkForwarded checks that no attempt was sent after its request had ended.
func (j *judge) checkForwarded(a *Request) {
	end := a.ClientClosed
	if end.IsZero() && a.Status != 0 {
		end = a.FirstByte
	}
	if end.IsZero() {
		return
	}
	for _, n := range j.byRequest[a.ID] {
		if late := n.At.Sub(end); n.Kind == Received && late > forwardSlack+pauseMax+j.slack && !j.faultyBetween(n.Replica, end.Add(-time.Second), n.At) {
			j.addFinding(RuleForwarded, "%s at %s was sent to %s at %s, but had ended at %s", a.ID, a.Dispatcher, n.Replica, j.sinceStart(n.At), j.sinceStart(end))
		}
	}
}

// checkHeld checks how long readers held the state of a request while no attempt was open at any
// replica.
func (j *judge) checkHeld(a *Request) {
	open := map[string]int{}            // open attempts, by replica
	abandoned := map[string]time.Time{} // when a dispatcher ended an attempt unnoticed, by replica
	for _, n := range j.byRequest[a.ID] {
		if n.Kind == Abandoned {
			abandoned[n.Replica] = n.At
		}
	}
	total := 0
	var since time.Time // when the limit started to run; zero: not running
	held := false
	check := func(n Report) {
		if !held || since.IsZero() {
			return
		}
		if j.killedBeforeRelease(a, since, n.At) {
			return
		}
		duration := n.At.Sub(since)
		j.figures.LongestHeld = max(j.figures.LongestHeld, duration)
		if duration > releaseLimit+releaseSlack+pauseMax+j.slack {
			j.addFinding(RuleHeld, "%s %s at %s: a state was held from %s to %s (%s%s)", a.ID, a.Class, a.Dispatcher, j.sinceStart(since), j.sinceStart(n.At), n.Kind, atReplica(n.Replica))
		}
	}
	for _, n := range j.byRequest[a.ID] {
		switch n.Kind {
		case Received:
			open[n.Replica]++
			total++
			check(n)
			since = time.Time{}
		case Ended, Abandoned:
			if n.Kind == Ended && abandoned[n.Replica].After(n.At) {
				// The answer is lost on a silent connection: the attempt is still open at the dispatcher.
				continue
			}
			if open[n.Replica] > 0 {
				open[n.Replica]--
				total--
			}
			if total == 0 && held {
				since = n.At
			}
		case ReadDone:
			if total <= 1 && !held && !abandoned[n.Replica].After(n.At) {
				since = n.At
			}
			held = true
		case Fetch, Released:
			check(n)
			held, since = false, time.Time{}
		}
	}
	if held && !since.IsZero() && total == 0 {
		check(Report{At: j.endTime(), Kind: "never released"})
	}
}

// atReplica returns " at NAME", or nothing for a report of no replica.
func atReplica(replica string) string {
	if replica == "" {
		return ""
	}
	return " at " + replica
}

// endTime returns when the held state was checked for the last time.
func (j *judge) endTime() time.Time {
	if !j.Ended.IsZero() {
		return j.Ended
	}
	return j.Started.Add(j.Scenario.Length)
}

// killedBeforeRelease reports whether SIGKILL ended the request's dispatcher before it had to
// release the state. A dispatcher that exited by itself had to release it before.
func (j *judge) killedBeforeRelease(a *Request, since, by time.Time) bool {
	l := j.processAt(a.Dispatcher, a.Sent)
	if l == nil || l.KillSent.IsZero() || l.ExitCode != signaledExitCode {
		return false
	}
	return l.KillSent.Before(since.Add(releaseLimit+releaseSlack)) && l.Exited.Before(by)
}

// checkRepeated checks requests that must not run twice.
func (j *judge) checkRepeated(a *Request) {
	if a.Class != "instruction" {
		return
	}
	ran := j.timesRun(a.ID)
	if ran > 1 {
		j.addFinding(RuleDuplicate, "%s ran %d times", a.ID, ran)
	}
	if ran > 0 && a.Status == http.StatusServiceUnavailable {
		j.addFinding(RuleDuplicate, "%s ran and was refused", a.ID)
	}
}

// timesRun returns how often a request ran at writers.
func (j *judge) timesRun(id string) (ran int) {
	for _, n := range j.byRequest[id] {
		if n.Kind == StreamStarted {
			ran++
		}
	}
	return ran
}

// checkRepeatedIDs checks that no instruction ran twice under its id. A dispatcher that was killed
// has forgotten what it knew.
func (j *judge) checkRepeatedIDs() {
	for _, repeated := range j.RepeatedIDs {
		if ran := j.timesRun(repeated.ID); ran > 1 && len(j.Processes[repeated.Dispatcher]) == 1 {
			j.addFinding(RuleDuplicate, "%s at %s ran %d times, as it came again after its client had left", repeated.ID, repeated.Dispatcher, ran)
		}
	}
}

// checkDrains checks that no attempt was sent to a replica once its drain had to be known.
func (j *judge) checkDrains() {
	for _, d := range j.Drains {
		by := d.KnownFrom.Add(drainGrace + pauseMax + j.slack)
		for _, n := range j.Reports {
			if n.Kind == Received && n.ID != "" && n.Replica == d.Replica && n.At.After(by) && !j.faultyBetween(n.Replica, by, n.At) {
				j.addFinding(RuleDrain, "%s was sent to %s at %s, whose drain had to be known from %s", n.ID, d.Replica, j.sinceStart(n.At), j.sinceStart(d.KnownFrom))
			}
		}
	}
}

// checkProcesses checks how dispatchers exited, and that their logs report no panic, data race or
// violated rule.
func (j *judge) checkProcesses() {
	for name, processes := range j.Processes {
		for i, l := range processes {
			switch {
			case l.Exited.IsZero():
				j.addFinding(RuleCrash, "%s, process %d, did not exit", name, i)
			case !l.KillSent.IsZero():
			// The protocol lets SIGTERM end a process that is not ready: it has accepted no request.
			case l.Signal == syscall.SIGTERM && l.Ready.IsZero():
			case l.TermSent.IsZero() || l.ExitCode != 0:
				j.addFinding(RuleCrash, "%s, process %d, exited at %s with code %d, SIGTERM at %s; its last lines: %s", name, i, j.sinceStart(l.Exited), l.ExitCode,
					j.sinceStart(l.TermSent), lastLines(j.Logs[name]))
			}
		}
		for line := range strings.Lines(j.Logs[name]) {
			if strings.Contains(line, "panic:") || strings.Contains(line, "DATA RACE") || strings.Contains(line, " violated: ") {
				j.addFinding(RuleCrash, "%s logged: %s", name, strings.TrimSpace(line))
			}
		}
	}
}

// lastLines returns the end of a dispatcher's log on one line. Where a process exited by itself, it
// has the reason.
func lastLines(log string) string {
	const count = 8
	lines := strings.Split(strings.TrimSpace(log), "\n")
	return strings.Join(lines[max(len(lines)-count, 0):], " | ")
}
