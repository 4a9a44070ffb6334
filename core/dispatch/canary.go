package dispatch

import "slices"

// While a service is rolled out to a new version, a few canary requests test it. The VM that
// sends a request selects it as a canary, so that the traffic to a bad version is bounded by
// each VM's own counters. All other requests stay away from the endpoints under test.

// canaryPreference is the bonus in seconds of an endpoint of the new version for a canary
// request. It exceeds lateCost, since a slow version would otherwise get no requests and never
// be detected, and is less than the cost of a lost response.
const canaryPreference = 2 * lateCost

// admitsVersion reports whether a job may run on an endpoint's version.
func admitsVersion(j *Job, e *endpoint) bool {
	return (j.Canary || !e.Canary) && !j.versionDiffers(e.Version)
}

// versionDiffers reports whether a job is the rest of a stream that another version began.
func (j *Job) versionDiffers(version string) bool { return j.Continues && version != j.Version }

// mayStillTry reports whether a job has not tried an endpoint, whose version it may run at.
func (j *Job) mayStillTry(e *endpoint) bool {
	return !slices.Contains(j.Tried, e.hash) && !j.versionDiffers(e.Version)
}

// canaryCost returns the cost of an endpoint's version for a job; negative for a canary.
func canaryCost(j *Job, e *endpoint) float64 {
	if isCanaryRun(j, e) {
		return -canaryPreference
	}
	return 0
}

// isCanaryRun reports whether a job is a canary at an endpoint under test. Such a job is placed
// at once, whether it will be late or not, since its purpose is to test the version.
func isCanaryRun(j *Job, e *endpoint) bool { return j.Canary && e.Canary }
