package dispatch

// While a service moves to another version, a few requests try the new one: the VM that sends a
// request chooses it for that, so that what a bad version gets is bounded by what each VM
// counts for itself. All others stay away from the endpoints that are tried.

// preferTrial is what an endpoint of the new version counts for less, in seconds, for a request
// that tries it: more than a late answer costs, since a version that is slow would otherwise
// get nothing and never be found out, and less than an answer that is lost.
const preferTrial = 2 * lateCost

// admitsVersion says whether a job may run at an endpoint as far as versions go.
func admitsVersion(j *Job, e *endpoint) bool { return j.Trial || !e.Canary }

// trialCost is what the version of an endpoint counts for a job.
func trialCost(j *Job, e *endpoint) float64 {
	if tries(j, e) {
		return -preferTrial
	}
	return 0
}

// tries says whether a job at an endpoint tries its version. It goes there at once, late or
// not: it was chosen to find out.
func tries(j *Job, e *endpoint) bool { return j.Trial && e.Canary }
