package agree

import (
	"cmp"
	"fmt"
	"slices"
)

// lostNumbers are left out where a cluster is founded anew: the logs that are lost may have given out some, and no number is used twice.
const skippedNumbers = 100

// Refound gives the record of a new cluster that takes the place of one whose logs are lost but for this record. acted are versions that
// dispatchers are known to have acted on: what is newer than the record was in force, and is again. A version that was under way is
// withdrawn, as what became of it is lost. Who had a seat has none any more; wanted are the seats of the new cluster.
func (b *Record) Rebootstrap(cluster uint64, wanted int, seat Seat, acted []Version, by string) (Record, error) {
	next := *b
	next.Versions, next.RetiredDisks = slices.Clone(b.Versions), slices.Clone(b.RetiredDisks)
	if b.Cluster == 0 || b.InForce() == nil {
		return next, fmt.Errorf("it holds no version in force")
	}
	acted = slices.Clone(acted)
	slices.SortFunc(acted, func(x, y Version) int { return cmp.Compare(x.Number, y.Number) })
	for _, v := range acted {
		known := next.Version(v.Number)
		switch {
		case v.Number == 0 || known == nil && v.Number <= b.InForceNumber:
			continue // it is not kept any more
		case known != nil && known.Fingerprint != v.Fingerprint:
			return next, fmt.Errorf("version %d stands for %s and for %s: these are not of one cluster", v.Number, known.Fingerprint, v.Fingerprint)
		case v.Number <= next.InForceNumber:
			continue
		case known == nil:
			v.State, v.Base = Pending, next.InForceNumber
			next.Versions = append(next.Versions, v)
		}
		next.putInForce(v.Number)
		next.LastNumber = max(next.LastNumber, v.Number)
	}
	if open := next.InProgress(); open != nil {
		open.State, open.Member = Withdrawn, by
	}
	for _, s := range b.Seats {
		next.RetiredDisks = append(next.RetiredDisks, s.Disk)
	}
	next.Cluster, next.RequiredSeats, next.Seats, next.Complete = cluster, wanted, []Seat{seat}, wanted <= 1
	next.LastNumber += skippedNumbers
	next.Changes = nil
	if next.List.Number > 0 {
		next.List.Number += skippedNumbers
	}
	next.Revision++
	return next, nil
}
