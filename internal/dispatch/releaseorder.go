package dispatch

import (
	"cmp"
	"hash/maphash"
	"slices"
)

const (
	// releaseFixed is the number of replicas that are tried for every release in the same order, so
	// that connections to them stay open.
	releaseFixed   = 16
	releaseSampled = 16 // further replicas, chosen by request id, as all of the fixed ones may be down
	// sampleStride is a prime above the size of any fleet, so that steps of it reach every replica
	// once.
	sampleStride = 7919
)

// releaseOrder returns the addresses of the replicas to try for a release, in order: the holder
// first, then those that are most likely to be up. The ranking of all replicas is rebuilt only
// after a change of the list or the settings.
func (d *Dispatcher) releaseOrder(id, holder string) []string {
	if d.releaseRanking == nil {
		d.releaseRanking = d.rankForRelease()
	}
	addrs := make([]string, 0, 1+releaseFixed+releaseSampled)
	if holder != "" {
		addrs = append(addrs, holder)
	}
	add := func(addr string) {
		if addr != holder {
			addrs = append(addrs, addr)
		}
	}
	fixed := d.releaseRanking[:min(releaseFixed+releaseSampled, len(d.releaseRanking))]
	if len(d.releaseRanking) > releaseFixed+releaseSampled {
		fixed = fixed[:releaseFixed]
	}
	for _, addr := range fixed {
		add(addr)
	}
	if others := d.releaseRanking[len(fixed):]; len(others) > 0 {
		start := int(maphash.String(d.sampleSeed, id) % uint64(len(others)))
		for i := range releaseSampled {
			add(others[(start+i*sampleStride)%len(others)])
		}
	}
	return addrs
}

// rankForRelease returns the addresses of all replicas in order of preference. Within a zone the
// replicas in service that started long ago come first. The zones alternate, beginning with this
// dispatcher's own, so that a zone that is cut off costs one try and not one for each of its
// replicas.
func (d *Dispatcher) rankForRelease() []string {
	type candidate struct {
		*Server
		zoneRank int // position among the replicas of its zone
	}
	all := make([]candidate, 0, len(d.servers))
	for _, s := range d.servers {
		all = append(all, candidate{Server: s})
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.Availability, b.Availability), cmp.Compare(a.Started, b.Started), cmp.Compare(a.ID, b.ID))
	})
	seenInZone := map[string]int{}
	for i := range all {
		all[i].zoneRank = seenInZone[all[i].Zone]
		seenInZone[all[i].Zone]++
	}
	remoteZone := func(s *Server) int {
		if s.Zone == d.settings.Zone {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.zoneRank, b.zoneRank), cmp.Compare(remoteZone(a.Server), remoteZone(b.Server)))
	})
	addrs := make([]string, len(all))
	for i, s := range all {
		addrs[i] = s.Addr
	}
	return addrs
}
