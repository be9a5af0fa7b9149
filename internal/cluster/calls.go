package cluster

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	jsoniter "github.com/json-iterator/go"

	"standpulley/internal/clusterstate"
	"standpulley/internal/membership"
	"standpulley/internal/peers"
)

// Paths of the calls between dispatchers. All bodies are JSON, except the voters' raft frames.
const (
	renewCall   = "/agree/renew"
	changesCall = "/agree/news"
	proposeCall = "/agree/propose"
	showCall    = "/agree/show"
	seatCall    = "/agree/seat"
	readingCall = peers.ReadingPath
	confirmCall = "/agree/confirm"
)

// versionInfo is the part of a version that a dispatcher needs to check it and act on it.
type versionInfo struct {
	Number      uint64            `json:"number"`
	Fingerprint string            `json:"print"`
	Content     string            `json:"content,omitempty"` // left out if the dispatcher has it
	Keys        map[string]string `json:"keys,omitempty"`
}

func versionInfoOf(v *clusterstate.Version, cached bool) *versionInfo {
	if v == nil {
		return nil
	}
	info := &versionInfo{Number: v.Number, Fingerprint: v.Fingerprint}
	if !cached {
		info.Content, info.Keys = v.Content, v.Keys
	}
	return info
}

// renewResponse is the answer to a renewal.
type renewResponse struct {
	Leader string `json:"leader"` // as far as the answering voter knows
	// the voter was still the leader after the renewal had arrived; the fields below are valid only
	// then
	Confirmed  bool         `json:"sure"`
	Lease      bool         `json:"lease"`
	InForce    *versionInfo `json:"force,omitempty"`
	InProgress *versionInfo `json:"open,omitempty"` // pending or canary, to be checked
	Cluster    uint64       `json:"cluster"`
	Revision   uint64       `json:"stamp"`
	Why        string       `json:"why,omitempty"` // why the lease was not granted
	// the longest time that another dispatcher has served normally
	ServingMS int64 `json:"serves_ms,omitempty"`

	// as other dispatchers report them, if the renewal asked for them
	WarmRates map[string]float64 `json:"bears,omitempty"`

	List *listUpdate `json:"list,omitempty"` // set if dispatchers agree on the list of replicas
}

// listUpdate brings a dispatcher's copy of the list of replicas up to date.
type listUpdate struct {
	membership.Part
	Dispatchers  int  `json:"living"`  // number of dispatchers, by the census
	Counted      bool `json:"counted"` // the receiver is in the census
	ReadRegistry bool `json:"read"`    // the receiver is to read the registry on behalf of all
	// the registry was read since the leader took office, and the list holds all that was read
	Fresh bool `json:"fresh,omitempty"`
	// number of the last reading that the leader has from the receiver
	ReadingNumber uint64 `json:"heard,omitempty"`
}

// changeNotice is a long-poll request for a revision of the record other than Revision, and the
// answer with the present one.
type changeNotice struct {
	Revision uint64 `json:"stamp"`
}

// proposeResponse is the answer to a proposed entry, a reading or a request for a seat.
type proposeResponse struct {
	Number    uint64 `json:"number,omitempty"`
	Error     string `json:"error,omitempty"`     // final: the request was refused
	NotLeader bool   `json:"elsewhere,omitempty"` // the answering voter is not the leader
	Leader    string `json:"leader,omitempty"`    // the leader as far as that voter knows
	SendAll   bool   `json:"whole,omitempty"`     // in the answer to a reading: send the whole list
}

// ViewFilter selects parts of the record, as a list may be long. The zero value selects all.
type ViewFilter struct {
	Section string `json:"of,omitempty"`      // SectionSettings, SectionList, or empty for both
	Replica string `json:"replica,omitempty"` // of the list, only the entry of this replica and no changes
}

// The sections of the record.
const (
	SectionSettings = "settings"
	SectionList     = "list"
)

// copyFrom returns a copy of the selected parts.
func (filter ViewFilter) copyFrom(rec *clusterstate.Record) clusterstate.Record {
	c := *rec
	c.Versions, c.Seats, c.RetiredDisks, c.Results, c.Changes = slices.Clone(rec.Versions), slices.Clone(rec.Seats), slices.Clone(rec.RetiredDisks), nil, slices.Clone(rec.Changes)
	// other parts are replaced as a whole when they change
	c.Orders, c.LedgerDisks = maps.Clone(rec.Orders), maps.Clone(rec.LedgerDisks)
	switch {
	case filter.Section == SectionSettings:
		c.List.Entries, c.Changes = nil, nil
	case filter.Replica != "":
		c.List.Entries, c.Changes = map[string]membership.Entry{}, nil
		if e, ok := rec.List.Entries[filter.Replica]; ok {
			c.List.Entries[filter.Replica] = e
		}
	default:
		c.List.Entries = maps.Clone(rec.List.Entries)
	}
	if filter.Section == SectionList {
		c.Versions = nil
	}
	return c
}

// seatRequest asks for a voter's seat.
type seatRequest struct {
	Name    string `json:"name"`
	Disk    uint64 `json:"disk"`
	Replace bool   `json:"replace"` // requested by an operator: replace the disk that holds the seat
}

// View is the leader's state as shown to operators.
type View struct {
	Record  clusterstate.Record `json:"book"`
	Leader  string              `json:"leader"`
	Term    uint64              `json:"term"`
	Members []MemberView        `json:"members"`
	// dispatchers that have not checked the version in progress
	WaitingFor      []string `json:"blocks,omitempty"`
	RegistryReaders []string `json:"readers,omitempty"`
	// a change of the list that waits for confirmation
	Held *membership.Held `json:"held,omitempty"`
	// damped replicas, with their number of state changes
	Flapping map[string]int `json:"flaps,omitempty"`
}

// MemberView is the leader's view of one dispatcher. Times are in milliseconds.
type MemberView struct {
	clusterstate.Renewal
	LeaseMS int64 `json:"lease_ms"` // upper bound of the remaining lease; 0 once it has expired
	HeardMS int64 `json:"heard_ms"` // since the last renewal
}

var errNoLeader = errors.New("no voter that leads can be reached: a majority of the voters is needed")

// callJSON makes a call with a JSON request and a JSON response.
func callJSON(l *peers.Link, path string, request, response any, timeout time.Duration) error {
	data, err := jsoniter.Marshal(request)
	if err != nil {
		return err
	}
	if data, err = l.Call(path, data, timeout); err != nil {
		return err
	}
	return jsoniter.Unmarshal(data, response)
}

// Call makes a call to another voter on behalf of another component; the voter answers it with the
// Handler of the path.
func (n *Node) Call(name, path string, request, response any, timeout time.Duration) error {
	l := n.links[name]
	if l == nil {
		return fmt.Errorf("%s is no other voter", name)
	}
	return callJSON(l, path, request, response, timeout)
}

// handle answers calls of other dispatchers.
func (n *Node) handle(from peers.Caller, path string, body []byte) ([]byte, error) {
	v := n.voter
	if path == peers.RaftPath {
		return nil, v.handleFrames(from, body)
	}
	var answer any
	var err error
	switch path {
	case renewCall:
		var r clusterstate.Renewal
		if err = n.decode(from, body, &r); err == nil && r.Name != from.Name {
			n.counts.RecordDrop(peers.NotMember, from.Name, "renewal in the name of "+r.Name)
			err = errors.New("a renewal for another")
		}
		if err == nil {
			answer, err = v.renew(r)
		}
	case changesCall:
		var q changeNotice
		if err = n.decode(from, body, &q); err == nil {
			answer = changeNotice{v.waitForChange(q.Revision, changeTimeout)}
		}
	case proposeCall:
		var e clusterstate.Entry
		if err = n.decode(from, body, &e); err == nil {
			answer, err = v.propose(e)
		}
	case showCall:
		var x ViewFilter
		if err = n.decode(from, body, &x); err == nil {
			answer, err = v.show(x)
		}
	case readingCall:
		var r membership.Reading
		if err = n.decode(from, body, &r); err == nil && r.Reader != from.Name {
			err = errors.New("a reading for another")
		}
		if err == nil {
			answer, err = v.addReading(r)
		}
	case confirmCall:
		answer, err = v.confirm()
	case seatCall:
		var s seatRequest
		if err = n.decode(from, body, &s); err == nil && s.Name != from.Name {
			err = errors.New("a seat for another")
		}
		if err == nil {
			answer, err = v.takeSeat(s)
		}
	default:
		if f := n.opt.Handlers[path]; f != nil {
			if answer, err = f(from.Name, body); err == nil {
				break
			}
			return nil, err
		}
		n.counts.RecordDrop(peers.Malformed, from.Name, "no such call: "+path)
		return nil, fmt.Errorf("no such call: %s", path)
	}
	if err != nil {
		return nil, err
	}
	return jsoniter.Marshal(answer)
}

func (n *Node) decode(from peers.Caller, body []byte, into any) error {
	if err := jsoniter.Unmarshal(body, into); err != nil {
		n.counts.RecordDrop(peers.Malformed, from.Name, err.Error())
		return err
	}
	return nil
}
