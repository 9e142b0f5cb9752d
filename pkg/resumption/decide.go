package resumption

import "time"

// Evidence is what a box knows about a stream that its caller takes up.
type Evidence struct {
	// Origin is where the stream began, if Found is set.
	Origin Origin
	Found  bool
	// Saved is set if no box had a record, and Origin was read from the store as boxes started. Loading is set while this
	// box reads.
	Saved, Loading bool
	ServiceVersions
	// ListConfirmed is set if the list of servers was confirmed after the stream was taken up.
	ListConfirmed bool
	// Others is the number of other boxes, Answers the number of those that have answered, and Confirming that of
	// those who know the recent versions. OthersSeveral is set if one of them knows several versions.
	Others, Answers, Confirming int
	OthersSeveral               bool
}

// ServiceVersions is what a box knows about the software versions of a service's servers.
type ServiceVersions struct {
	// Versions are those that are present, or were less than Retention ago.
	Versions []string
	// Age is the age of the list of servers.
	Age time.Duration
	// HistoryKnown is set if no version of the last Retention can be missing up to that age. A box that has just
	// started knows only the servers of the moment.
	HistoryKnown bool
}

// minAnswers is the number of boxes that confirm that a service has one version. The boxes that answer keep the
// record of the stream if there is one, unless it was lost on its way to each of them.
const minAnswers = 2

// confirmed reports whether the versions are all that the service has or had lately. Boxes that have just started
// can't confirm that to each other.
func (e *Evidence) confirmed() bool {
	if e.HistoryKnown && (e.ListConfirmed || e.Others == 0) {
		return true
	}
	return e.Others > 0 && e.Confirming >= min(minAnswers, e.Others)
}

// settled reports whether further answers are not needed.
func (e *Evidence) settled() bool {
	return e.Found && !e.Origin.Uncertain || len(e.Versions) == 1 && !e.Found && e.confirmed() && !e.OthersSeveral
}

// Verdict says at which version a stream goes on.
type Verdict struct {
	// Known is unset if nobody knows the version: the stream must not go on.
	Known bool
	// Origin is where the stream began, or where it must go on if it has no record.
	Origin Origin
	// Recorded is set if a box had a record.
	Recorded bool
	Reason   string
	// Uncertain is set if there is a record, and the box that forwarded the stream will know its version.
	Uncertain bool
	// Evidence is what the verdict rests on.
	Evidence Evidence
	// mayResolve is set if the next confirmation of the list of servers, or reading the recent versions, may decide.
	mayResolve bool
}

// Decide decides at which version a stream of a service goes on. A box that knows a single version may be
// behind: a second one may serve that it does not know of, at which the stream began. So it relies on other
// boxes, or on a list that was confirmed since. A stream that began before anyone knew of a second version has
// no record, but no box then knows several. Nor does a box know several that began to watch the servers only after
// the other version had gone, so that an answer counts only from a box that knows the recent versions.
func Decide(service string, e Evidence) Verdict {
	v := decide(service, &e)
	v.Evidence = e
	return v
}

func decide(service string, e *Evidence) Verdict {
	switch {
	case (e.Found || e.Saved) && e.Origin.Ambiguous:
		return Verdict{Reason: "its version is ambiguous"}
	case e.Found && e.Origin.Uncertain:
		return Verdict{Reason: "its server may have restarted with another version before it began", Uncertain: true, mayResolve: true}
	case e.Saved:
		return Verdict{Known: true, Origin: e.Origin, Recorded: true, Reason: "recorded in the store"}
	case e.Found:
		return Verdict{Known: true, Origin: e.Origin, Recorded: true, Reason: "recorded"}
	case len(e.Versions) > 1 || e.OthersSeveral:
		return Verdict{Reason: "no box has a record of it, and there are several versions", mayResolve: e.Loading}
	case len(e.Versions) == 0:
		return Verdict{Reason: "no server of the service is known"}
	case !e.confirmed():
		return Verdict{Reason: "this box may not know all versions of late, and too few boxes that do answered", mayResolve: true}
	}
	return Verdict{Known: true, Origin: Origin{Service: service, Version: e.Versions[0]}, Reason: "one version"}
}
