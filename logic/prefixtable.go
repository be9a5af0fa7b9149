package logic

import (
	"slices"
	"time"
)

// The prefix table records which reader holds how much of a session or of a shared prefix.

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

// match is the part of a prompt that the table expects to be cached at a reader: the expected
// length, and the length that the reader has confirmed by completing a read.
type match struct {
	tokens, confirmed int64
	byHash            bool // assumed from the key's hash alone
}

// keysOf returns the table keys of a request's session and of its shared prefix.
func keysOf(r *request) (session, prefix tableKey) {
	return tableKey{false, r.Session}, tableKey{true, r.Prefix}
}

// tableKeys returns both keys as an array.
func (r *request) tableKeys() [2]tableKey {
	session, prefix := keysOf(r)
	return [2]tableKey{session, prefix}
}

// live reports whether an entry is recent enough and from the reader's current process.
func (l *Router) live(h cacheEntry) bool {
	return l.now-h.lastSeen <= entryTTL && h.lastSeen >= h.server.cacheValidSince
}

// recordCached records what a reader holds; confirmed is false for a read that was only just sent.
func (l *Router) recordCached(k tableKey, s *server, tokens int64, confirmed bool) {
	if k.key == 0 || tokens <= 0 {
		return
	}
	entries, _ := l.prefixTable.get(k)
	entries = slices.DeleteFunc(entries, func(h cacheEntry) bool { return h.server == s || !l.live(h) })
	l.prefixTable.set(k, append(entries, cacheEntry{s, tokens, l.now, confirmed}))
}

// matches returns the length of the prompt's match for each reader that holds any of it.
func (l *Router) matches(r *request) map[*server]match {
	session, prefix := keysOf(r)
	m := map[*server]match{}
	add := func(k tableKey, limit int64) {
		entries, _ := l.prefixTable.get(k)
		for _, h := range entries {
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
