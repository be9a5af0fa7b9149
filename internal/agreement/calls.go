package agreement

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	jsoniter "github.com/json-iterator/go"

	"standpulley/internal/agree"
	"standpulley/internal/membership"
	"standpulley/internal/peers"
)

// The calls among dispatchers. All but the voters' frames are JSON.
const (
	renewCall   = "/agree/renew"
	changesCall = "/agree/news"
	proposeCall = "/agree/propose"
	showCall    = "/agree/show"
	seatCall    = "/agree/seat"
	readingCall = peers.ReadingPath
	confirmCall = "/agree/confirm"
)

// brief is a version as a dispatcher needs it to act on it.
type versionInfo struct {
	Number      uint64            `json:"number"`
	Fingerprint string            `json:"print"`
	Content     string            `json:"content,omitempty"` // left out where the dispatcher has it
	Keys        map[string]string `json:"keys,omitempty"`
}

func versionInfoOf(v *agree.Version, cached bool) *versionInfo {
	if v == nil {
		return nil
	}
	info := &versionInfo{Number: v.Number, Fingerprint: v.Fingerprint}
	if !cached {
		info.Content, info.Keys = v.Content, v.Keys
	}
	return info
}

// renewed answers a renewal.
type renewResponse struct {
	Leader     string       `json:"leader"` // as far as the voter knows that was asked
	Confirmed  bool         `json:"sure"`   // the voter leads, and led after the renewal had come: what follows is so
	Lease      bool         `json:"lease"`
	InForce    *versionInfo `json:"force,omitempty"`
	InProgress *versionInfo `json:"open,omitempty"` // under way, to be checked
	Cluster    uint64       `json:"cluster"`
	Revision   uint64       `json:"stamp"`
	Why        string       `json:"why,omitempty"`       // no lease
	ServingMS  int64        `json:"serves_ms,omitempty"` // how long another dispatcher has served as usual

	WarmRates map[string]float64 `json:"bears,omitempty"` // what others say that replicas bear, for one that does not know

	List *listUpdate `json:"list,omitempty"` // where dispatchers agree on lists of replicas too
}

// listNews brings a dispatcher's list of replicas up to date.
type listUpdate struct {
	membership.Part
	Dispatchers   int    `json:"living"`          // dispatchers
	Counted       bool   `json:"counted"`         // this one is among them
	ReadRegistry  bool   `json:"read"`            // it is to read the register for all
	Fresh         bool   `json:"fresh,omitempty"` // the register was read since the leader began, and the list holds all of it
	ReadingNumber uint64 `json:"heard,omitempty"` // the number of the reading that the leader has of it, if it reads
}

// news asks to be told when the record is newer than Stamp.
type changeNotice struct {
	Revision uint64 `json:"stamp"`
}

// proposed answers an entry.
type proposeResponse struct {
	Number    uint64 `json:"number,omitempty"`
	Error     string `json:"error,omitempty"`     // final: decided against
	NotLeader bool   `json:"elsewhere,omitempty"` // this voter does not lead ...
	Leader    string `json:"leader,omitempty"`    // ... but this one, if it is known
	SendAll   bool   `json:"whole,omitempty"`     // of a reading: send the whole list
}

// Extract says which parts of the record are wanted, as a list may be long. The zero value wants all.
type ViewFilter struct {
	Section string `json:"of,omitempty"`      // OfSettings, OfList
	Replica string `json:"replica,omitempty"` // of the list only this entry, and no changes
}

// The parts.
const (
	SectionSettings = "settings"
	SectionList     = "list"
)

// of gives a copy of the wanted parts.
func (x ViewFilter) copyFrom(b *agree.Record) agree.Record {
	c := *b
	c.Versions, c.Seats, c.RetiredDisks, c.Results, c.Changes = slices.Clone(b.Versions), slices.Clone(b.Seats), slices.Clone(b.RetiredDisks), nil, slices.Clone(b.Changes)
	c.Orders, c.LedgerDisks = maps.Clone(b.Orders), maps.Clone(b.LedgerDisks) // the rest is replaced as a whole where it changes
	switch {
	case x.Section == SectionSettings:
		c.List.Entries, c.Changes = nil, nil
	case x.Replica != "":
		c.List.Entries, c.Changes = map[string]membership.Entry{}, nil
		if e, ok := b.List.Entries[x.Replica]; ok {
			c.List.Entries[x.Replica] = e
		}
	default:
		c.List.Entries = maps.Clone(b.List.Entries)
	}
	if x.Section == SectionList {
		c.Versions = nil
	}
	return c
}

// seat asks for a voter's seat.
type seatRequest struct {
	Name    string `json:"name"`
	Disk    uint64 `json:"disk"`
	Replace bool   `json:"replace"` // by an operator's word, the disk that sits there goes
}

// View is what operators see of the agreement.
type View struct {
	Record          agree.Record     `json:"book"`
	Leader          string           `json:"leader"`
	Term            uint64           `json:"term"`
	Members         []MemberView     `json:"members"`
	WaitingFor      []string         `json:"blocks,omitempty"` // the dispatchers that a version under way waits for
	RegistryReaders []string         `json:"readers,omitempty"`
	Held            *membership.Held `json:"held,omitempty"`  // a change of the list that must be confirmed
	Flapping        map[string]int   `json:"flaps,omitempty"` // replicas that are damped, with their turns
}

// MemberView is one dispatcher as the leader sees it. Times are in milliseconds.
type MemberView struct {
	agree.Renewal
	LeaseMS int64 `json:"lease_ms"` // left at most; 0 when it is over
	HeardMS int64 `json:"heard_ms"` // ago
}

var errNoLeader = errors.New("no voter that leads can be reached: a majority of the voters is needed")

// call speaks JSON over a link.
func callJSON(l *peers.Link, path string, request, response any, timeout time.Duration) error {
	text, err := jsoniter.Marshal(request)
	if err != nil {
		return err
	}
	if text, err = l.Call(path, text, timeout); err != nil {
		return err
	}
	return jsoniter.Unmarshal(text, response)
}

// Speak makes a call of another part to a voter.
func (n *Node) Call(name, path string, request, response any, timeout time.Duration) error {
	l := n.links[name]
	if l == nil {
		return fmt.Errorf("%s is no other voter", name)
	}
	return callJSON(l, path, request, response, timeout)
}

// handle answers the calls of others.
func (n *Node) handle(from peers.Caller, path string, body []byte) ([]byte, error) {
	v := n.voter
	if path == peers.RaftPath {
		return nil, v.handleFrames(from, body)
	}
	var answer any
	var err error
	switch path {
	case renewCall:
		var r agree.Renewal
		if err = n.decode(from, body, &r); err == nil && r.Name != from.Name {
			n.counts.RecordDrop(peers.NotMember, from.Name, "it speaks for "+r.Name)
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
		var e agree.Entry
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
