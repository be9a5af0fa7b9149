package program

import "testing"

// The path of ledger calls, the key of the stored fleet capacity and the operators' commands are those
// of earlier versions. The test guards against holders that cannot call each other during an upgrade, a
// capacity that is learned anew, and command lines that a running dispatcher does not understand.
func TestNamesOutsideTheProcess(t *testing.T) {
	for want, got := range map[string]string{
		"/ledger":        ledgerCall,
		"bears":          capacityKey,
		"ledger-unknown": LedgerUnknown,
		"ledger-show":    LedgerShow,
		"ledger-settle":  LedgerSettle,
		"ledger-accept":  LedgerAccept,
		"ledger-status":  LedgerStatus,
		"ledger-export":  LedgerExport,
		"ledger-import":  LedgerImport,
	} {
		if got != want {
			t.Errorf("%q has become %q", want, got)
		}
	}
}
