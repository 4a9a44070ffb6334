package report

// Causes, as the account names them.
const (
	CauseVMs       = "VMs started anew"
	CausePlacers   = "VMs lost the one that places for them"
	CauseEndpoints = "endpoints failed or could not be reached"
	CauseAllowance = "organisations met their allowance"
	CauseOverload  = "more was asked than endpoints do"
	CauseStore     = "the store was lost"
	CauseLate      = "answers were late"
)

// Reasons of refusals, as the daemon logs them.
const (
	reasonAllowance = "over_allowance"
	reasonTooLate   = "too_late"
	reasonFull      = "queue_full"
)

// failuresTell is the share of a step's requests from which failed attempts are the likely
// cause.
const failuresTell = 0.1

// cause names what most likely kept requests of a step from being on time. What happened to
// VMs and endpoints goes before what follows from it, such as overload.
func cause(s *Step) string {
	missed := s.Asked - s.OnTime
	failures := 0
	for _, n := range s.Failures {
		failures += n
	}
	switch {
	case missed == 0:
		return ""
	case s.Started > 0:
		return CauseVMs
	case float64(failures) >= failuresTell*float64(s.Asked):
		return CauseEndpoints
	case s.PlacersLost > 0:
		return CausePlacers
	case 2*s.Refused[reasonAllowance] > missed:
		return CauseAllowance
	case 2*(s.Refused[reasonTooLate]+s.Refused[reasonFull]) > missed:
		return CauseOverload
	case s.StoreLost > 0:
		return CauseStore
	case s.refusals() > s.Late:
		return CauseOverload
	}
	return CauseLate
}
