package logic

import (
	"slices"
	"time"
)

// The prefix table: which reader holds how much of a session or of a shared prefix.

type tableKey struct {
	prefix bool
	key    uint64
}

type holding struct {
	at     *server
	tokens int64
	seen   time.Duration
	sure   bool
}

// match is what the table says of a prompt at a reader: the length it believes in and the one it claims, if sure.
type match struct {
	tokens, claim int64
	presumed      bool // by the key's hash alone
}

// keysOf gives the table keys of a request's session and of its shared beginning.
func keysOf(r *request) (session, prefix tableKey) {
	return tableKey{false, r.Session}, tableKey{true, r.Prefix}
}

// tableKeys gives both.
func (r *request) tableKeys() [2]tableKey {
	session, prefix := keysOf(r)
	return [2]tableKey{session, prefix}
}

// live tells whether an entry is neither old nor of an earlier process.
func (l *Router) live(h holding) bool { return l.now-h.seen <= keyLife && h.seen >= h.at.since }

// record notes what a reader holds; sure is false for what it was only just sent to read.
func (l *Router) record(k tableKey, s *server, tokens int64, sure bool) {
	if k.key == 0 || tokens <= 0 {
		return
	}
	hs := slices.DeleteFunc(l.table[k], func(h holding) bool { return h.at == s || !l.live(h) })
	l.table[k] = append(hs, holding{s, tokens, l.now, sure})
}

// matches gives the table's length for each reader that holds any of the prompt.
func (l *Router) matches(r *request) map[*server]match {
	session, prefix := keysOf(r)
	m := map[*server]match{}
	note := func(k tableKey, most int64) {
		for _, h := range l.table[k] {
			x := match{tokens: min(h.tokens, most)}
			if h.sure {
				x.claim = x.tokens
			}
			if l.live(h) && x.tokens > m[h.at].tokens {
				m[h.at] = x
			}
		}
	}
	note(session, r.PromptTokens)
	note(prefix, r.PrefixTokens)
	return m
}
