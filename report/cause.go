package report

// Causes of steps with requests that were not on time, as the report prints them.
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

// failureCauseShare is the ratio of failed attempts to requests in a step from which on endpoint
// failures are the likely cause.
const failureCauseShare = 0.1

// likelyCause returns the most likely cause of the requests in a step that were not on time; empty
// if all were. Events at VMs and endpoints take precedence over their consequences, such as
// overload.
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
