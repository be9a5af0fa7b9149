package cluster

import (
	"testing"

	"standpulley/internal/golden"
)

// The JSON encodings of this package are those of earlier versions, which other processes and stored
// files still use. The test guards against a renamed field, which a dispatcher of another version would
// ignore, and which would be lost from stored data.
func TestEncodings(t *testing.T) {
	golden.Check(t, map[string]any{
		"version_info":        versionInfo{},
		"renew_response":      renewResponse{},
		"list_update":         listUpdate{},
		"change_notice":       changeNotice{},
		"propose_response":    proposeResponse{},
		"view_filter":         ViewFilter{},
		"seat_request":        seatRequest{},
		"view":                View{},
		"status":              Status{},
		"command":             Command{},
		"reply":               Reply{},
		"registry_difference": RegistryDifference{},
		"saved_state":         savedState{},
		"survey_result":       SurveyResult{},
	})
}
