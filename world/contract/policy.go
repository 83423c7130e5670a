package contract

// Names of the routing policies.
const (
	PolicyAdaptive   = "adaptive"
	PolicyLeast      = "least"
	PolicyPeakEWMA   = "peakEWMA"
	PolicyPowerOfTwo = "powerOfTwo"
	PolicyRandom     = "random"
	PolicyRoundRobin = "roundRobin"
)

// PolicyNames returns the names of the policies that rules and settings may use.
func PolicyNames() []string {
	return []string{PolicyAdaptive, PolicyLeast, PolicyPeakEWMA, PolicyPowerOfTwo, PolicyRandom, PolicyRoundRobin}
}
