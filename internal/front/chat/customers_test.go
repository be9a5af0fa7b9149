package chat

import (
	"net/http"
	"testing"
	"time"

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

// TestManyInstructionsAreRemembered guards against one client at full speed, with a new key in each
// instruction, after which no other client's instruction was taken for 15 minutes.
func TestManyInstructionsAreRemembered(t *testing.T) {
	const flood, memory = 10000, 14 << 20 / 20 // the least share of memory
	m, now := NewInstructions(), time.Now()
	m.now = func() time.Time { return now }
	m.SetLimit(memory)
	for key := range uint64(flood) {
		if known, full := m.begin(key, true); known || full {
			t.Fatalf("instruction %d: known %v, full %v", key, known, full)
		}
		m.finish(key, true)
	}
	if _, full := m.begin(flood, true); full {
		t.Error("another client's instruction is not taken")
	}
	if known, _ := m.begin(0, true); !known {
		t.Error("the first instruction is forgotten")
	}
	for key := uint64(flood + 1); ; key++ {
		if _, full := m.begin(key, false); full {
			break
		}
		m.finish(key, true)
		if key > 10*flood {
			t.Fatal("no limit")
		}
	}
	now = now.Add(instructionRetention)
	if _, full := m.begin(0, true); full {
		t.Error("no instruction is taken after the others have expired")
	}
}
