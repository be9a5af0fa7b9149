package wire

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"standpulley/logic"
)

func next(t *testing.T, text string) (Message, error) {
	t.Helper()
	var m Message
	err := NewReader(strings.NewReader(text)).Next(&m)
	return m, err
}

func TestArrival(t *testing.T) {
	m, err := next(t, "JOB_IN\ti=3\tcorr=abc\toutput_cap=256\ttalk=91f03b7c55d20a64\taccount=a\tlane=points\t"+
		"remaining_us=240000\tbits=3\tnew_key=x\tprefix_tokens=1200\tprefix=2b8e6401d9f37c10\tprompt_tokens=1800\n")
	if err != nil {
		t.Fatal(err)
	}
	want := logic.Request{Class: "points", Tenant: "a", Session: 0x91f03b7c55d20a64, Prefix: 0x2b8e6401d9f37c10,
		PrefixTokens: 1200, PromptTokens: 1800, MaxOutput: 256, Retried: true,
		Remaining: 240 * time.Millisecond}
	if m.Instance != 3 || m.Event.RequestID != "abc" || m.Event.Request != want {
		t.Errorf("got %+v", m)
	}
}

func TestOutcome(t *testing.T) {
	m, err := next(t, "COMPLETED\ti=1\tcorr=q\thost=h:1\tover=0\trc=shed\tduration_us=5\tshot=2\tnote=1\tusage=x0:0.4,x1:1.25,recent_ms:3\n")
	if err != nil {
		t.Fatal(err)
	}
	e := m.Event
	if e.Kind != logic.Ended || e.Outcome != logic.Full || !e.NoState || e.Attempt != 2 || e.Report.MemoryHeld != 0.4 ||
		e.Report.TokensWaiting != 1250 {
		t.Errorf("got %+v %+v", e, e.Report)
	}
	m, _ = next(t, "COMPLETED\ti=1\tcorr=q\thost=h:1\tover=0\trc=READ\tduration_us=5\tshot=2\tnote=77\n")
	if m.Event.NoState || m.Event.Tokens != 77 || m.Event.Report != nil {
		t.Errorf("got %+v", m.Event)
	}
}

func TestListNumbersAreReused(t *testing.T) {
	r := NewReader(strings.NewReader("POOL\tref=0\trows_in=1\nM\thost=a:1\tcampus=z\tgeneration_hw=k\tpod=1\tavailability=ready\n" +
		"TARGETS\ti=0\tref=0\tmode=F\tepoch=1\nPOOL\tref=0\trows_in=0\nTARGETS\ti=0\tref=0\tmode=D\tepoch=2\nTARGETS\ti=0\tmode=X\n"))
	var m Message
	for i, n := range []int{1, 0, 0} {
		if err := r.Next(&m); err != nil || len(m.Event.Servers) != n {
			t.Fatalf("list %d: %d servers, %v", i, len(m.Event.Servers), err)
		}
	}
	if m.Event.Kind != logic.ListFailed {
		t.Errorf("the last event is a %v", m.Event.Kind)
	}
}

func TestMalformedInputNamesLineAndField(t *testing.T) {
	for text, field := range map[string]string{
		"JOB_IN\ti=3\tcorr=a\tprompt_tokens=many\n":                "prompt_tokens",
		"JOB_IN\ti=x\tcorr=a\n":                                    "i",
		"JOB_IN\ti=3\n":                                            "corr",
		"JOB_IN\tcorr=a\n":                                         "i",
		"JOB_IN\ti=3\tcorr=a\ttalk=zz\n":                           "talk",
		"COMPLETED\ti=3\tcorr=a\trc=perhaps\n":                     "rc",
		"COMPLETED\ti=3\tcorr=a\trc=READ\tover=yes\n":              "over",
		"COMPLETED\ti=3\tcorr=a\trc=READ\tusage=x0\n":              "usage",
		"TARGETS\ti=3\tref=99\tmode=F\n":                           "ref",
		"TARGETS\ti=3\tref=0\tmode=Q\n":                            "mode",
		"POOL\tref=0\trows_in=2\nM\thost=a\n":                      "rows_in",
		"POOL\tref=0\trows_in=1\nM\tcampus=a\n":                    "host",
		"POOL\tref=77\trows_in=0\n":                                "ref",
		"BEGIN_BATCH\tclock_us=1\n":                                "n",
		"WAKEUP\ti=3\ttag":                                         "end",
		"WAKEUP\ti=3\ttag\n":                                       "tag",
		"ATTACH\ti=0\tservices.count=1\tservices.0.repeat=maybe\n": "services.0.repeat",
	} {
		_, err := next(t, text)
		var e *Error
		if !errors.As(err, &e) || e.Field != field || e.Line < 1 {
			t.Errorf("%q: %v, want an error at field %s", text, err, field)
		}
	}
}

func TestSettings(t *testing.T) {
	m, err := next(t, "ATTACH\ti=3\tsalt=9\tzone=z\tfamily_info.duty_by_kind=read,both\tfamily_info.kv_tokens=5,6\thost_types=p,d\t"+
		"limits.try_limit=6\tsiblings=3\tlimits.retry_after=true\tlimits.max_retry_after_us=500000\tobligations.fall_multiple=2.5\t"+
		"services.count=1\tservices.0.name=c\tservices.0.goal_time_us=1200000\tservices.0.deadline_us=6000000\t"+
		"services.0.repeat=deduplicated\tservices.0.key_scope=cell\tfamily_info.aim_us_per_1000_prompt_tokens=40000.0\tunknown=1\n")
	if err != nil {
		t.Fatal(err)
	}
	s := m.Settings
	if m.Seed != 9 || s.Siblings != 3 || len(s.Kinds) != 2 || s.Kinds[1] != (logic.Kind{Name: "d", Role: logic.Mixed, MemoryTokens: 6}) ||
		s.Classes[0].Repeat != logic.Keyed || s.Classes[0].Scope != logic.SameCell || s.Classes[0].AimPer1K != 40*time.Millisecond ||
		s.MaxRetryAfter != 500*time.Millisecond || s.FallMultiple != 2.5 {
		t.Errorf("got %+v", s)
	}
}

func TestActions(t *testing.T) {
	var b strings.Builder
	w := NewWriter(&b)
	for _, a := range []logic.Action{
		{Kind: logic.Send, RequestID: "q", Server: "h:1", Until: 8 * time.Second}, {Kind: logic.Refuse, RequestID: "q", After: time.Second},
		{Kind: logic.Fail, RequestID: "q"}, {Kind: logic.Release, RequestID: "q"}, {Kind: logic.Cancel, RequestID: "q", Attempt: 1},
		{Kind: logic.Wake, After: time.Millisecond, Tag: 7}, {Kind: logic.Watch},
	} {
		if err := w.Action(3, &a); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.EndBatch("12"); err != nil {
		t.Fatal(err)
	}
	want := "PASS_ON\ti=3\tcorr=q\thost=h:1\tnot_past_us=8000000\nBOUNCE\ti=3\tcorr=q\tpause_us=1000000\nREPORT_FAILURE\ti=3\tcorr=q\n" +
		"DISCARD\ti=3\tcorr=q\nREVOKE\ti=3\tcorr=q\tshot=1\nWAKE_AT\ti=3\tdelay_us=1000\ttag=7\nLISTEN\ti=3\tactive=1\nYIELD\tn=12\n"
	if b.String() != want {
		t.Errorf("got\n%s", b.String())
	}
}

// FuzzNext feeds arbitrary text to the Reader, which must return messages or an error and must
// never panic.
func FuzzNext(f *testing.F) {
	f.Add("BEGIN_BATCH\tclock_us=1\tn=1\nATTACH\ti=0\tservices.count=9999\nPOOL\tref=1\trows_in=1\nM\thost=a\nEOF_BATCH\n")
	f.Add("COMPLETED\ti=-1\tcorr=\tusage=,:\n\n\tx\n")
	f.Fuzz(func(t *testing.T, text string) {
		r := NewReader(strings.NewReader(text))
		var m Message
		for {
			if err := r.Next(&m); err != nil {
				if err != io.EOF && err.Error() == "" {
					t.Error("an error without a text")
				}
				return
			}
		}
	})
}
