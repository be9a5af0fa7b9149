package config

import (
	"fmt"
	"time"
)

// Recovery sets up in which order a dispatcher comes back. It is off where the operator's file has none.
type Recovery struct {
	Find  string `json:"find"`  // how long all voters are waited for, where a majority has answered; 2s if not set
	Learn string `json:"learn"` // how long peers are asked for what they know of replicas; 500ms if not set
}

const (
	defaultRecoveryFind  = 2 * time.Second
	defaultRecoveryLearn = 500 * time.Millisecond
	maxRecoveryWait      = time.Minute
)

func (r *Recovery) check(lists *Lists) error {
	if lists == nil {
		return &Fault{"recovery", "agree.lists is not set: without agreed lists nobody knows which replicas are cold"}
	}
	for _, d := range []struct {
		key  string
		text *string
		none time.Duration
	}{{"recovery.find", &r.Find, defaultRecoveryFind}, {"recovery.learn", &r.Learn, defaultRecoveryLearn}} {
		if *d.text == "" {
			*d.text = d.none.String()
		}
		if t, err := time.ParseDuration(*d.text); err != nil || t < 0 || t > maxRecoveryWait {
			return &Fault{d.key, fmt.Sprintf("%q is no time up to %v", *d.text, maxRecoveryWait)}
		}
	}
	return nil
}

// FindTimeout is Find.
func (r *Recovery) FindTimeout() time.Duration { return durationOf(r.Find) }

// LearnTimeout is Learn.
func (r *Recovery) LearnTimeout() time.Duration { return durationOf(r.Learn) }

// checked reads a time that the checks have seen.
func durationOf(text string) time.Duration {
	d, _ := time.ParseDuration(text)
	return d
}
