package config

import (
	"fmt"
	"time"
)

// Recovery configures the stages in which a dispatcher returns to service after a start. It is off
// if the operator's file lacks it.
type Recovery struct {
	Find  string `json:"find"`  // how long to wait for the other voters once a majority has answered; 2s if not set
	Learn string `json:"learn"` // how long to wait for the registry to be read after the start; 500ms if not set
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
		key          string
		text         *string
		defaultValue time.Duration
	}{{"recovery.find", &r.Find, defaultRecoveryFind}, {"recovery.learn", &r.Learn, defaultRecoveryLearn}} {
		if *d.text == "" {
			*d.text = d.defaultValue.String()
		}
		if t, err := time.ParseDuration(*d.text); err != nil || t < 0 || t > maxRecoveryWait {
			return &Fault{d.key, fmt.Sprintf("%q is not a duration up to %v", *d.text, maxRecoveryWait)}
		}
	}
	return nil
}

// FindTimeout returns Find as a duration.
func (r *Recovery) FindTimeout() time.Duration { return durationOf(r.Find) }

// LearnTimeout returns Learn as a duration.
func (r *Recovery) LearnTimeout() time.Duration { return durationOf(r.Learn) }

// durationOf parses a duration that has been checked before.
func durationOf(text string) time.Duration {
	d, _ := time.ParseDuration(text)
	return d
}
