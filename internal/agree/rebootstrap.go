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
func (rec *Record) Rebootstrap(cluster uint64, wanted int, seat Seat, actedOn []Version, by string) (Record, error) {
	next := *rec
	next.Versions, next.RetiredDisks = slices.Clone(rec.Versions), slices.Clone(rec.RetiredDisks)
	if rec.Cluster == 0 || rec.InForce() == nil {
		return next, fmt.Errorf("it holds no version in force")
	}
	actedOn = slices.Clone(actedOn)
	slices.SortFunc(actedOn, func(x, y Version) int { return cmp.Compare(x.Number, y.Number) })
	for _, v := range actedOn {
		known := next.Version(v.Number)
		switch {
		case v.Number == 0 || known == nil && v.Number <= rec.InForceNumber:
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
	if candidate := next.InProgress(); candidate != nil {
		candidate.State, candidate.Member = Withdrawn, by
	}
	for _, s := range rec.Seats {
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
