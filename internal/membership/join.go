package membership

// OwnList is what a dispatcher's own register says, at a version of it. No entries (nil) mean that it is not read, or has said
// nothing.
type OwnList struct {
	Version int64
	Entries map[string]Entry
}

// Effective gives what a dispatcher may act on: the agreed list, made stricter at once by what its own register says. What only the
// register names is not there yet. What a newer version of the register than the agreed list goes by does not name has ended.
// What the register does not name otherwise is used only if named says that an agreed list counts as naming it.
func Effective(agreed List, own OwnList, named bool) map[string]Entry {
	all := make(map[string]Entry, len(agreed.Entries))
	for id, e := range agreed.Entries {
		mine, ok := own.Entries[id]
		switch {
		case !ok && (!named || own.Entries != nil && own.Version > agreed.RegistryVersion):
			continue
		case ok && mine.StartedMS > e.StartedMS:
			// Another life, or another machine under the id: nothing is known of it by agreement yet.
			e.State = Terminating
		case ok && mine.StartedMS == e.StartedMS:
			if strictness(mine.State) > strictness(e.State) {
				e.State = mine.State
			}
			e.Weight = min(e.Weight, mine.Weight)
		}
		if e.State != Terminated {
			all[id] = e
		}
	}
	return all
}

// DescribeDifference tells how one replica's entry stands at the register beside the agreed one, for people; empty where alike.
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
