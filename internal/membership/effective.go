package membership

// OwnList is the list that a dispatcher read from its own registry, at a version of that registry.
// Entries is nil if this dispatcher does not read the registry or has not received a list yet.
type OwnList struct {
	Version int64
	Entries map[string]Entry
}

// Effective returns the entries that a dispatcher may act on: the agreed list, made stricter at
// once by its own list.
//   - A replica that only the own list names is left out until it is agreed on.
//   - A replica that the own list does not name is left out if the own list is of a newer registry
//     version than the agreed list: the replica has ended. Otherwise it is kept only if named is
//     set, which lets the agreed list alone name a replica.
func Effective(agreed List, own OwnList, named bool) map[string]Entry {
	all := make(map[string]Entry, len(agreed.Entries))
	for id, e := range agreed.Entries {
		ownEntry, ok := own.Entries[id]
		switch {
		case !ok && (!named || own.Entries != nil && own.Version > agreed.RegistryVersion):
			continue
		case ok && ownEntry.StartedMS > e.StartedMS:
			// The replica was restarted, or the id belongs to another machine now: that incarnation
			// is not agreed on yet.
			e.State = Terminating
		case ok && ownEntry.StartedMS == e.StartedMS:
			if strictness(ownEntry.State) > strictness(e.State) {
				e.State = ownEntry.State
			}
			e.Weight = min(e.Weight, ownEntry.Weight)
		}
		if e.State != Terminated {
			all[id] = e
		}
	}
	return all
}

// DescribeDifference describes for operators how a replica's entry in the own list differs from the
// agreed one. It returns an empty string if they are alike.
func DescribeDifference(agreed, own *Entry) string {
	switch {
	case agreed == nil && own == nil:
		return ""
	case agreed == nil:
		return "not agreed yet"
	case own == nil:
		return "not named by the register"
	case own.StartedMS != agreed.StartedMS:
		return "another life"
	case own.Addr != agreed.Addr:
		return "at " + own.Addr
	case own.State != agreed.State:
		return own.State
	}
	return ""
}
