package resumption

// Evidence is what a box knows about a stream that its caller takes up.
type Evidence struct {
	// Origin is where the stream began, if Found is set.
	Origin Origin
	Found  bool
	// Versions are the versions of the service's servers that this box knows.
	Versions []string
	// ListConfirmed is set if the list of servers was confirmed after the stream was taken up.
	ListConfirmed bool
	// Others is the number of other boxes, Answers the number of those that have answered. OthersSeveral is
	// set if one of them knows several versions.
	Others, Answers int
	OthersSeveral   bool
}

// minAnswers is the number of boxes that confirm that a service has one version. The boxes that answer keep the
// record of the stream if there is one, unless it was lost on its way to each of them.
const minAnswers = 2

// confirmed reports whether this box knows all versions of the service.
func (e *Evidence) confirmed() bool {
	return e.ListConfirmed || e.Answers >= min(minAnswers, e.Others)
}

// settled reports whether further answers are not needed.
func (e *Evidence) settled() bool {
	return e.Found || len(e.Versions) == 1 && e.confirmed() && !e.OthersSeveral
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
	// awaitsList is set if the next confirmation of the list of servers may decide.
	awaitsList bool
}

// Decide decides at which version a stream of a service goes on. A box that knows a single version may be
// behind: a second one may serve that it does not know of, at which the stream began. So it relies on other
// boxes, or on a list that was confirmed since. A stream that began before anyone knew of a second version has
// no record, but no box then knows several.
func Decide(service string, e Evidence) Verdict {
	switch {
	case e.Found && e.Origin.Ambiguous:
		return Verdict{Reason: "its version is ambiguous"}
	case e.Found:
		return Verdict{Known: true, Origin: e.Origin, Recorded: true, Reason: "recorded"}
	case len(e.Versions) > 1 || e.OthersSeveral:
		return Verdict{Reason: "no box has a record of it, and there are several versions"}
	case len(e.Versions) == 0:
		return Verdict{Reason: "no server of the service is known"}
	case !e.confirmed():
		return Verdict{Reason: "this box may not know all versions, and too few boxes answered", awaitsList: true}
	}
	return Verdict{Known: true, Origin: Origin{Service: service, Version: e.Versions[0]}, Reason: "one version"}
}
