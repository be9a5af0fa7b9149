package standin

// Map is a JSON object.
type Map = map[string]any

// Settings returns the settings of a small deployment: one zone or two, readers and writers, an enquiry
// that may be repeated and an instruction that must not run twice.
func Settings() Map {
	return Map{
		"siblings": 1, "zone": "half-way-tree", "zones": []string{"half-way-tree", "new-kingston"},
		"host_types": []string{"prompt-box", "answer-box"}, "kind_of_service": "twostage", "registry_mode": "pushed",
		"family_info": Map{"duty_by_kind": []string{"read", "write"}, "kv_tokens": []int{252339, 151538},
			"aim_us_per_1000_prompt_tokens": []int{40000, 40000}, "token_aim_us": []int{60000, 80000},
			"let_go_by_us": 500000, "read_in_place": false, "resume": false, "ahead": false},
		"limits": Map{"try_limit": 6, "cancel": true, "retry_after": true, "max_retry_after_us": 2000000,
			"connect_timeout_us": 250000, "conn_idle_us": 30000000, "probes": false, "may_duplicate": false},
		"obligations": Map{"answer_slack_us": 16000, "drain_grace_us": 1000000, "cold_from": 0.27,
			"ramp_time_us": 14000000, "fall_multiple": 2.5, "fall_us": 3000000, "ask_every_us": 10000000},
		"services": []Map{Enquiry(), Instruction()},
	}
}

// Enquiry is a class that may be repeated.
func Enquiry() Map {
	return Map{"name": "enquiry", "repeat": "idempotent", "key_scope": "all", "goal_time_us": 1500000, "deadline_us": 6000000,
		"window_us": 5000000, "credit": 3, "late_worth": 0.3, "stream": true}
}

// Instruction is a class that must not run twice.
func Instruction() Map {
	return Map{"name": "instruction", "repeat": "at_most_once", "key_scope": "all", "goal_time_us": 2500000, "deadline_us": 10000000,
		"window_us": 5000000, "credit": 2, "late_worth": 0.3, "stream": true}
}
