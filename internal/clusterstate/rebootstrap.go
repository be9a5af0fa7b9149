package clusterstate

import (
	"cmp"
	"fmt"
	"slices"
)

// skippedNumbers is how many numbers a rebootstrapped cluster skips: the lost logs may have given
// out numbers that this record does not know, and no number may be used twice.
const skippedNumbers = 100

// Rebootstrap returns the record of a new cluster that replaces one of which only this record is
// left. actedOn are versions that dispatchers are known to have acted on: one that is newer than the
// record was in force, and is put in force again. A version in progress is withdrawn, as its outcome
// is lost. All voters lose their seats; wanted is the number of seats of the new cluster.
func (rec *Record) Rebootstrap(cluster uint64, wanted int, seat Seat, actedOn []Version, by string) (Record, error) {
	next := *rec
	next.Versions, next.RetiredDisks = slices.Clone(rec.Versions), slices.Clone(rec.RetiredDisks)
	if rec.Cluster == 0 || rec.InForce() == nil {
		return next, fmt.Errorf("the record holds no version in force")
	}
	actedOn = slices.Clone(actedOn)
	slices.SortFunc(actedOn, func(x, y Version) int { return cmp.Compare(x.Number, y.Number) })
	for _, version := range actedOn {
		known := next.Version(version.Number)
		switch {
		case version.Number == 0 || known == nil && version.Number <= rec.InForceNumber:
			continue // older than the record keeps, or none
		case known != nil && known.Fingerprint != version.Fingerprint:
			return next, fmt.Errorf("version %d has the fingerprints %s and %s: these records belong to different clusters", version.Number, known.Fingerprint, version.Fingerprint)
		case version.Number <= next.InForceNumber:
			continue
		case known == nil:
			version.State, version.Base = Pending, next.InForceNumber
			next.Versions = append(next.Versions, version)
		}
		next.putInForce(version.Number)
		next.LastNumber = max(next.LastNumber, version.Number)
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
