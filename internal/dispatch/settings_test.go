package dispatch

import (
	"testing"
	"time"

	"standpulley/logic"
)

// updateSettings puts settings in force in which change has altered the classes or limits.
func updateSettings(t *testing.T, d *Dispatcher, change func(*logic.Settings)) {
	t.Helper()
	settings := d.settings
	settings.Classes = append([]logic.Class(nil), d.settings.Classes...)
	change(&settings)
	q := settingsUpdate{settings, Bounds{9, 100}, nil, make(chan error, 1)}
	q.apply(d)
	if err := <-q.reply; err != nil {
		t.Fatal(err)
	}
}

// TestOpenRequestsKeepTheirClass checks that an open request keeps the rule on repeats, the window
// and the deadline of its class as it was at admission, even if new settings change or remove the
// class. Limits apply at once.
func TestOpenRequestsKeepTheirClass(t *testing.T) {
	for name, c := range map[string]struct {
		class  string
		change func(*logic.Settings)
		again  bool // whether an attempt follows one at a writer that may have run
	}{
		"unsafe becomes safe": {"unsafe", func(s *logic.Settings) { s.Classes[1].Repeat = logic.Safe }, false},
		"safe becomes unsafe": {"safe", func(s *logic.Settings) { s.Classes[0].Repeat = logic.Unsafe }, true},
		"class removed":       {"unsafe", func(s *logic.Settings) { s.Classes = s.Classes[:1] }, false},
		"shorter deadline":    {"safe", func(s *logic.Settings) { s.Classes[0].Deadline = time.Millisecond }, true},
		"fewer attempts":      {"safe", func(s *logic.Settings) { s.MaxAttempts = 2 }, false},
	} {
		d, _, advance := newClockedCore(t)
		k, p := submit(d, "a", c.class)
		endAttempt(d, p, logic.ReadDone)
		sent := len(p.sent)
		updateSettings(t, d, c.change)
		advance(100 * time.Millisecond)
		noFurtherAnswer(t, k) // the deadline of its class at admission has not passed
		endAttempt(d, p, logic.ConnectionLost)
		if again := len(p.sent) > sent; again != c.again {
			t.Errorf("%s: further attempt %v", name, again)
		}
		if c.again {
			noFurtherAnswer(t, k)
		} else if a := answerOf(t, k); a.Verdict == Served || a.Verdict == Refused && c.class == "unsafe" {
			t.Errorf("%s: %v", name, a.Verdict)
		}
	}
}

// TestOpenRequestsKeepTheirWindow checks that an open request keeps the time window for repeats
// under which it was admitted, whether it is longer or shorter than the new one.
func TestOpenRequestsKeepTheirWindow(t *testing.T) {
	for _, windows := range [][2]time.Duration{{30 * time.Second, time.Hour}, {time.Hour, 30 * time.Second}} {
		d := keyedCore(t, logic.AllServers, windows[0])
		_, p := submit(d, "a", "keyed")
		endAttempt(d, p, logic.ReadDone)
		updateSettings(t, d, func(s *logic.Settings) { s.Classes[0].Window = windows[1] })
		endAttempt(d, p, logic.ServerError) // may have run
		r := d.requests["a"]
		r.uncertainSince = r.uncertainSince.Add(-time.Minute)
		if open := d.beforeSend(&attempt{dispatcher: d, request: r}, d.servers["w1"])() == nil; open != (windows[0] > time.Minute) {
			t.Errorf("windows %v: open a minute later: %v", windows, open)
		}
	}
}
