package report

// Causes, as the account names them.
const (
	CauseVMRestarts       = "VMs started anew"
	CausePlacersLost      = "VMs lost the one that places for them"
	CauseEndpointFailures = "endpoints failed or could not be reached"
	CauseAllowance        = "organisations met their allowance"
	CauseOverload         = "more was asked than endpoints do"
	CauseStoreLost        = "the store was lost"
	CauseLateResponses    = "answers were late"
)

// Reasons of refusals, as the daemon logs them.
const (
	reasonAllowance = "over_allowance"
	reasonTooLate   = "too_late"
	reasonFull      = "queue_full"
)

// failureCauseShare is the share of a step's requests from which failed attempts are the likely
// cause.
const failureCauseShare = 0.1

// likelyCause names what most likely kept requests of a step from being on time. What happened to
// VMs and endpoints goes before what follows from it, such as overload.
func likelyCause(s *Step) string {
	notOnTime := s.Requests - s.OnTime
	failures := 0
	for _, n := range s.Failures {
		failures += n
	}
	switch {
	case notOnTime == 0:
		return ""
	case s.Started > 0:
		return CauseVMRestarts
	case float64(failures) >= failureCauseShare*float64(s.Requests):
		return CauseEndpointFailures
	case s.PlacersLost > 0:
		return CausePlacersLost
	case 2*s.Refused[reasonAllowance] > notOnTime:
		return CauseAllowance
	case 2*(s.Refused[reasonTooLate]+s.Refused[reasonFull]) > notOnTime:
		return CauseOverload
	case s.StoreLost > 0:
		return CauseStoreLost
	case s.refusalCount() > s.Late:
		return CauseOverload
	}
	return CauseLateResponses
}
