package main

import (
	"strings"
	"testing"
)

const attach = "ATTACH\ti=0\tsalt=1\tfamily_info.duty_by_kind=read,write\thost_types=p,d\tlimits.try_limit=3\tsiblings=1\t" +
	"services.count=1\tservices.0.name=c\tservices.0.goal_time_us=1000000\tservices.0.deadline_us=6000000\tservices.0.repeat=idempotent\n"

func TestBatches(t *testing.T) {
	in := "BEGIN_BATCH\tclock_us=5\tn=1\nEOF_BATCH\nBEGIN_BATCH\tclock_us=10\tn=2\n" + attach +
		"POOL\tref=0\trows_in=1\nM\thost=a:1\tgeneration_hw=p\tavailability=ready\nTARGETS\ti=0\tref=0\tmode=C\tepoch=1\n" +
		"JOB_IN\ti=0\tcorr=q\tlane=c\ttalk=1f\tprompt_tokens=100\tremaining_us=4000000\nLEFT\ti=0\tcorr=unknown\n" +
		"CRASH_NOW\ti=0\n" + attach + "WAKEUP\ti=0\ttag=0\nEOF_BATCH\n"
	var out strings.Builder
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), "PASS_ON\ti=0\tcorr=q\thost=a:1") || !strings.HasSuffix(out.String(), "YIELD\tn=2\n") {
		t.Errorf("got\n%s", out.String())
	}
}

func TestErrorsAreReported(t *testing.T) {
	for in, want := range map[string]string{
		"BEGIN_BATCH\tclock_us=5\tn=1\nATTACH\ti=0\tsiblings=0\nEOF_BATCH\n": "setting",
		"BEGIN_BATCH\tclock_us=5\tn=1\nJOB_IN\ti=0\tcorr=q\ttalk=!\n":        "line 2: field talk",
		"BEGIN_BATCH\tclock_us=5\tn=1\n":                                     "ends within batch",
		"EOF_BATCH\n":                                                        "not begun",
	} {
		var out strings.Builder
		err := run(strings.NewReader(in), &out)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", in, err, want)
		}
		if strings.Contains(in, "i=0") && !strings.Contains(out.String(), "INTERNAL_ERROR\ti=0") {
			t.Errorf("%q: no INTERNAL_ERROR in the output: %q", in, out.String())
		}
	}
}
