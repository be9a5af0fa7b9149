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

type cacheEntry struct {
	server    *server
	tokens    int64
	lastSeen  time.Duration
	confirmed bool
}

// match is what the table says of a prompt at a reader: the length it believes in and the one it claims, if sure.
type match struct {
	tokens, confirmed int64
	byHash            bool // by the key's hash alone
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
func (l *Router) live(h cacheEntry) bool {
	return l.now-h.lastSeen <= entryTTL && h.lastSeen >= h.server.cacheValidSince
}

// record notes what a reader holds; sure is false for what it was only just sent to read.
func (l *Router) recordCached(k tableKey, s *server, tokens int64, sure bool) {
	if k.key == 0 || tokens <= 0 {
		return
	}
	hs := slices.DeleteFunc(l.prefixTable[k], func(h cacheEntry) bool { return h.server == s || !l.live(h) })
	l.prefixTable[k] = append(hs, cacheEntry{s, tokens, l.now, sure})
}

// matches gives the table's length for each reader that holds any of the prompt.
func (l *Router) matches(r *request) map[*server]match {
	session, prefix := keysOf(r)
	m := map[*server]match{}
	add := func(k tableKey, limit int64) {
		for _, h := range l.prefixTable[k] {
			x := match{tokens: min(h.tokens, limit)}
			if h.confirmed {
				x.confirmed = x.tokens
			}
			if l.live(h) && x.tokens > m[h.server].tokens {
				m[h.server] = x
			}
		}
	}
	add(session, r.PromptTokens)
	add(prefix, r.PrefixTokens)
	return m
}
