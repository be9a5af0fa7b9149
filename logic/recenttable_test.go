package logic

import (
	"fmt"
	"testing"
)

func TestRecentTableKeepsTheLatest(t *testing.T) {
	const limit = 8
	table := newRecentTable[int, int](limit)
	for i := range 100 {
		table.set(i, 2*i)
		table.set(0, 1) // set over and over, so it stays
		if table.len() >= 2*limit {
			t.Fatalf("%d entries", table.len())
		}
		for k := max(i-limit/2, 1); k <= i; k++ {
			if v, ok := table.get(k); !ok || v != 2*k {
				t.Fatalf("after %d: entry %d is %d, %v", i, k, v, ok)
			}
		}
	}
	if v, ok := table.get(0); !ok || v != 1 {
		t.Errorf("entry 0 is %d, %v", v, ok)
	}
	table.delete(0)
	table.deleteFunc(func(k, _ int) bool { return k%2 == 0 })
	for k := range 100 {
		if _, ok := table.get(k); ok && k%2 == 0 {
			t.Errorf("entry %d was deleted", k)
		}
	}
}

// TestNewNamesDoNotFillTables guards against memory that grows without end while a client names a
// new session, prefix and tenant in each request and servers answer "full".
func TestNewNamesDoNotFillTables(t *testing.T) {
	l := newRouter(t, settings(), entry("r1", "r", 1), entry("r2", "r", 1), entry("w1", "w", 1))
	const requests = 50000
	for i := range requests {
		at, id := ms(1)+ms(i)/10, fmt.Sprint(i)
		ev := arrival(id, uint64(i+1), uint64(i+1))
		ev.Request.Tenant = id
		sent := find(l.Handle(at, ev, nil), Send)
		if sent != nil {
			l.Handle(at, &Event{Kind: Ended, RequestID: id, Server: sent.Server, Outcome: Full, RequestEnded: true}, nil)
		}
	}
	const most = 2 * maxKeys
	for name, n := range map[string]int{"prefixTable": l.prefixTable.len(), "keyArrivals": l.keyArrivals.len(), "firstSeen": l.firstSeen.len()} {
		if n >= most {
			t.Errorf("%s: %d entries after %d requests", name, n, requests)
		}
	}
	for _, s := range l.servers {
		if n := s.backpressure.len(); n >= 2*maxTenantClasses {
			t.Errorf("%s: backpressure of %d tenants", s.ID, n)
		}
	}
}
