package proving

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"standpulley/internal/appliance"
	"standpulley/internal/cluster"
	"standpulley/internal/program"
)

// RunDispatcher runs those commands of the dispatcher program that a Fleet uses, with the fault to
// be injected, if any.
func RunDispatcher(args []string) error {
	InjectFault()
	dir := appliance.Dir(args[len(args)-1])
	switch do := strings.Join(args[:2], " "); do {
	case "settings init":
		return program.Bootstrap(dir)
	case "settings seat":
		return program.ReclaimSeat(dir)
	case "recovery refound", "recovery join":
		lost, err := strconv.ParseUint(args[3], 16, 64) // the argument after --lost
		if err != nil {
			return err
		}
		if args[1] == "join" {
			return cluster.LeaveCluster(string(dir), lost)
		}
		var others []string
		for i := 4; i+1 < len(args) && args[i] == "--from"; i += 2 {
			others = append(others, args[i+1])
		}
		_, err = program.Rebootstrap(dir, lost, others, "trial")
		return err
	case "run --state":
		return program.WithAsyncLog(func() error { return program.RunAppliance(dir) })
	default:
		return fmt.Errorf("unsupported command in a trial: %q", do)
	}
}

// rebootstrap bootstraps a new cluster from the log of a voter and what the folders of all
// dispatchers still have. The others that belong to the lost cluster leave it.
func (p *play) rebootstrap(d *Dispatcher) error {
	own, err := cluster.Survey(string(d.dir))
	if err != nil {
		return err
	}
	lost := strconv.FormatUint(own.Cluster, 16)
	args, members := []string{"recovery", "refound", "--lost", lost}, []*Dispatcher{}
	for _, x := range p.fleet.Dispatchers {
		if r, err := cluster.Survey(string(x.dir)); err == nil && x != d && r.Cluster == own.Cluster {
			args, members = append(args, "--from", string(x.dir)), append(members, x)
		}
	}
	text, err := p.fleet.Run(d, args...)
	for _, x := range members {
		if err == nil {
			text, err = p.fleet.Run(x, "recovery", "join", "--lost", lost)
		}
	}
	if err != nil {
		err = errors.Join(err, errors.New(text))
	}
	return err
}
