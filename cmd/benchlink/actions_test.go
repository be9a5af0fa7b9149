package main

import (
	"maps"
	"regexp"
	"slices"
	"strings"
	"testing"

	"standpulley/internal/wire"
	"standpulley/logic"
)

// The kinds of values of the page on the wire.
var (
	number  = regexp.MustCompile(`^[0-9]+$`)
	id      = regexp.MustCompile(`^[^\t=]+$`)
	replica = regexp.MustCompile(`^[^\t=]+:[0-9]+$`)
	boolean = regexp.MustCompile(`^[01]$`)
	token   = regexp.MustCompile(`^[0-9]{1,19}$`)
	delay   = regexp.MustCompile(`^[1-9][0-9]{0,9}$`) // microseconds, at most 71 minutes
)

// wireField is a field of a line, as the page on the wire describes it.
type wireField struct {
	name     string
	kind     *regexp.Regexp
	optional bool
}

// wireVerbs has the verbs of the page's section ACTIONS with their fields; each line also names its
// instance. YIELD ends a reply.
var wireVerbs = map[string][]wireField{
	"PASS_ON":        {{"corr", id, false}, {"host", replica, false}, {"not_past_us", number, true}},
	"BOUNCE":         {{"corr", id, false}, {"pause_us", number, true}},
	"REPORT_FAILURE": {{"corr", id, false}},
	"DISCARD":        {{"corr", id, false}},
	"REVOKE":         {{"corr", id, false}, {"shot", number, false}},
	"WAKE_AT":        {{"delay_us", delay, false}, {"tag", token, false}},
	"LISTEN":         {{"active", boolean, false}},
	"ASK_LOAD":       {{"host", replica, false}},
}

// verbOfAction says which verb an action is written as.
var verbOfAction = map[logic.ActionKind]string{
	logic.Send: "PASS_ON", logic.Refuse: "BOUNCE", logic.Fail: "REPORT_FAILURE", logic.Release: "DISCARD",
	logic.Cancel: "REVOKE", logic.Wake: "WAKE_AT", logic.Watch: "LISTEN", logic.Probe: "ASK_LOAD",
}

// checkLine returns what is wrong with a line of a reply, or an empty text.
func checkLine(line string) string {
	parts := strings.Split(line, "\t")
	fields, known := wireVerbs[parts[0]]
	if !known {
		return "the page has no such verb"
	}
	got := map[string]string{}
	for _, part := range parts[1:] {
		name, value, _ := strings.Cut(part, "=")
		if _, twice := got[name]; twice {
			return name + " is there twice"
		}
		got[name] = value
	}
	for _, f := range append([]wireField{{"i", number, false}}, fields...) {
		value, there := got[f.name]
		if !there && !f.optional || there && !f.kind.MatchString(value) {
			return f.name + " is missing or of another kind"
		}
		delete(got, f.name)
	}
	for name := range got {
		return "the verb has no field " + name
	}
	return ""
}

// scriptedBatches takes requests through arrival, probe, refusal, retry, cancel, release, failure and
// wake-up, at a router with few replicas (0) and at one of many routers, which probes (1).
var scriptedBatches = strings.Join([]string{
	"BEGIN_BATCH\tclock_us=1000\tn=1",
	"ATTACH\ti=0\tsalt=1\tsiblings=1" + scriptedSettings,
	"ATTACH\ti=1\tsalt=1\tsiblings=300\tlimits.probes=true" + scriptedSettings,
	"POOL\tref=0\trows_in=3", "M\thost=a:1\tgeneration_hw=p\tavailability=ready", "M\thost=b:1\tgeneration_hw=p\tavailability=ready",
	"M\thost=w:1\tgeneration_hw=d\tavailability=ready",
	"TARGETS\ti=0\tref=0\tmode=C\tepoch=1", "TARGETS\ti=1\tref=0\tmode=C\tepoch=1", "TARGETS\ti=0\tmode=X", "EOF_BATCH",
	// served, after a read that found no connection
	"BEGIN_BATCH\tclock_us=50000\tn=2", "JOB_IN\ti=0\tcorr=retried\tlane=safe\ttalk=1f\tprompt_tokens=100\tremaining_us=6000000",
	"COMPLETED\ti=0\tcorr=retried\thost=a:1\trc=dial_failed\tduration_us=100\tshot=0", "COMPLETED\ti=0\tcorr=retried\thost=b:1\trc=READ\tduration_us=9000\tshot=1",
	"FLOWING\ti=0\tcorr=retried\thost=w:1\tduration_us=100\tshot=2", "COMPLETED\ti=0\tcorr=retried\thost=w:1\trc=delivered\tover=1\tduration_us=900\tshot=2", "EOF_BATCH",
	// may have run: failed, and the state is released
	"BEGIN_BATCH\tclock_us=100000\tn=3", "JOB_IN\ti=0\tcorr=failed\tlane=once\ttalk=2f\tprompt_tokens=100\tremaining_us=6000000",
	"COMPLETED\ti=0\tcorr=failed\thost=b:1\trc=READ\tduration_us=9000\tshot=0", "COMPLETED\ti=0\tcorr=failed\thost=w:1\trc=dropped\tduration_us=900\tshot=1", "EOF_BATCH",
	// its client leaves while it is read, and it is cancelled
	"BEGIN_BATCH\tclock_us=150000\tn=4", "JOB_IN\ti=0\tcorr=left\tlane=safe\ttalk=3f\tprompt_tokens=100\tremaining_us=6000000", "LEFT\ti=0\tcorr=left",
	"COMPLETED\ti=0\tcorr=left\thost=b:1\trc=revoked\tover=1\tduration_us=900\tshot=0", "EOF_BATCH",
	// probed
	"BEGIN_BATCH\tclock_us=200000\tn=5", "JOB_IN\ti=1\tcorr=probed\tlane=safe\ttalk=4f\tprompt_tokens=100\tremaining_us=6000000",
	"CHECKED\ti=1\thost=a:1\trc=delivered\tduration_us=100", "CHECKED\ti=1\thost=b:1\trc=delivered\tduration_us=100", "EOF_BATCH",
	// no replica is left: refused when the time is over, at a wake-up
	"BEGIN_BATCH\tclock_us=250000\tn=6", "POOL\tref=1\trows_in=0", "TARGETS\ti=0\tref=1\tmode=C\tepoch=2",
	"JOB_IN\ti=0\tcorr=refused\tlane=safe\ttalk=5f\tprompt_tokens=100\tremaining_us=6000000", "EOF_BATCH",
	"BEGIN_BATCH\tclock_us=900000\tn=7", "WAKEUP\ti=0\ttag=0", "WAKEUP\ti=0\ttag=1", "EOF_BATCH", "",
}, "\n")

const scriptedSettings = "\tregistry_mode=on_request\tfamily_info.duty_by_kind=read,write\tfamily_info.kv_tokens=100000,100000\tfamily_info.let_go_by_us=500000\t" +
	"host_types=p,d\tlimits.try_limit=3\tlimits.cancel=true\tlimits.retry_after=true\tlimits.max_retry_after_us=2000000\tservices.count=2\t" +
	"services.0.name=safe\tservices.0.goal_time_us=1000000\tservices.0.deadline_us=6000000\tservices.0.repeat=idempotent\t" +
	"services.1.name=once\tservices.1.goal_time_us=1000000\tservices.1.deadline_us=6000000\tservices.1.repeat=at_most_once"

// TestActionsHaveTheFieldsOfTheWire guards against a field that the page on the wire does not give to
// a verb: the simulator ends the day at the first one.
func TestActionsHaveTheFieldsOfTheWire(t *testing.T) {
	var out strings.Builder
	if err := run(strings.NewReader(scriptedBatches), &out); err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	for line := range strings.Lines(out.String()) {
		line = strings.TrimSuffix(line, "\n")
		if strings.HasPrefix(line, "YIELD\tn=") {
			continue
		}
		if fault := checkLine(line); fault != "" {
			t.Errorf("%q: %s", line, fault)
		}
		verb, _, _ := strings.Cut(line, "\t")
		seen[verb] = true
	}
	for kind := logic.ActionKind(0); kind.String() != "unknown"; kind++ {
		if verb := verbOfAction[kind]; verb == "" || !seen[verb] {
			t.Errorf("action %v: verb %q was not written; the script wrote %v", kind, verb, slices.Sorted(maps.Keys(seen)))
		}
	}
}

// TestActionWithEveryFieldSet guards against a field that is written because it is set, whatever the
// verb.
func TestActionWithEveryFieldSet(t *testing.T) {
	for kind := logic.ActionKind(0); kind.String() != "unknown"; kind++ {
		var out strings.Builder
		w := wire.NewWriter(&out)
		a := logic.Action{Kind: kind, RequestID: "q", Server: "h:1", Attempt: 2, Until: 3e9, After: 4e6, Tag: 5}
		if err := w.Action(3, &a); err != nil {
			t.Fatal(err)
		}
		if err := w.EndBatch("1"); err != nil {
			t.Fatal(err)
		}
		line, _, _ := strings.Cut(out.String(), "\n")
		if fault := checkLine(line); fault != "" || !strings.HasPrefix(line, verbOfAction[kind]+"\t") {
			t.Errorf("%v: %q: %s", kind, line, fault)
		}
	}
}
