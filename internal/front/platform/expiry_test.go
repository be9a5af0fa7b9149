package platform

import (
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"standpulley/internal/fake"
	"standpulley/internal/fronttest"
)

// expirySlack is by how much the time that an attempt announces may exceed what its client has
// left.
const expirySlack = 150 * time.Millisecond

// expiresIn returns the time that an attempt announced to its replica.
func expiresIn(t *testing.T, call fake.Call) time.Duration {
	t.Helper()
	us, err := strconv.ParseInt(strings.TrimSuffix(call.Header["X-Expires-In"], "u"), 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return time.Duration(us) * time.Microsecond
}

// Guards: each attempt announces no more time than its client has left when the first byte of the
// attempt is written: after a read that took some time, and for a request that waited for the
// response to the one before it. The client's time runs from the last byte of its request.
func TestAttemptsCarryTheRemainingTime(t *testing.T) {
	const wait, reading = 2 * time.Second, 400 * time.Millisecond
	rig, addr := start(t, func(x *fake.Exchange) { time.Sleep(reading); x.Read(0) }, serve)
	c := send(t, addr, rawRequest("enquiry", "2000m"))
	if _, err := io.WriteString(c, rawRequest("enquiry", "2000m")); err != nil {
		t.Fatal(err)
	}
	fronttest.WaitFor(t, "both requests at the writer", func() bool { return rig.WriterRequests() == 2 })
	reads, writes := rig.Reader.Calls("POST"), rig.Writers[0].Calls("POST")
	for name, check := range map[string]struct {
		call fake.Call
		gone time.Duration
	}{
		"first, read": {reads[0], 0}, "first, answer": {writes[0], reading},
		"second, read": {reads[1], reading}, "second, answer": {writes[1], 2 * reading},
	} {
		if got := expiresIn(t, check.call); got > wait-check.gone+expirySlack || got <= 0 {
			t.Errorf("%s: announces %v after %v of %v", name, got, check.gone, wait)
		}
	}
}
