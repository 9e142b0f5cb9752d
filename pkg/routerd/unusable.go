package routerd

import (
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	lru "github.com/hashicorp/golang-lru/v2"

	"headhill.example/headhill/pkg/telemetry"
)

// leftOutKept bounds the entries that are remembered as logged, and with them the lines that a
// writer of bad entries can cause by writing the same ones again.
const leftOutKept = 1024

// leftOut counts and logs the entries of the store that can't be used.
type leftOut struct {
	logger log.Logger
	// logged are the faults that have been told, by object and name.
	logged *lru.Cache[string, string]
	counts *tally
}

func newLeftOut(logger log.Logger) *leftOut {
	// The only error is a size below one.
	logged, _ := lru.New[string, string](leftOutKept)
	return &leftOut{logger: logger, logged: logged, counts: newTally()}
}

// note counts an entry, and logs it unless that has been done for the same fault.
func (l *leftOut) note(object, name string, err error) {
	l.counts.add(object)
	key := object + "/" + name
	if before, ok := l.logged.Get(key); ok && before == err.Error() {
		return
	}
	l.logged.Add(key, err.Error())
	_ = level.Warn(l.logger).Log("msg", "unusable entry skipped", "object", object, "name", name, "err", err, "outcome", "the others hold")
}

// gauge shows how often entries were left out, by what they are.
func (l *leftOut) gauge() telemetry.Gauge {
	return telemetry.Gauge{
		Name: "headhill_entries_left_out", Help: "Entries of the store that could not be used, each time they were read.",
		Attribute: "object", Observe: l.counts.byName,
	}
}
