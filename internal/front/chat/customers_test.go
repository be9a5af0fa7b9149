package chat

import (
	"net/http"
	"testing"

	"standpulley/internal/fake"
	"standpulley/internal/fronttest"
)

// TestCustomersMayUseTheSameKey guards against two customers who meet under one Idempotency-Key: the
// instruction of the second was answered 424, as that of the first had run. A repeat by the first
// is still known.
func TestCustomersMayUseTheSameKey(t *testing.T) {
	rig, addr := start(t, fronttest.HealthyReader, func(x *fake.Exchange) { x.Answer("paid") })
	send := func(authorization string) int {
		resp, _ := post(t, addr, requestBody("act", false), "Idempotency-Key", "k1", "Authorization", authorization)
		return resp.StatusCode
	}
	for _, customer := range []string{"Bearer one", "Bearer two"} {
		if status := send(customer); status != http.StatusOK {
			t.Errorf("the first instruction of %q: %d", customer, status)
		}
	}
	for _, customer := range []string{"Bearer one", "Bearer two"} {
		if status := send(customer); status != statusMayHaveRun {
			t.Errorf("the repeat of %q: %d", customer, status)
		}
	}
	if n := rig.WriterRequests(); n != 2 {
		t.Errorf("%d instructions ran, want 2", n)
	}
}
