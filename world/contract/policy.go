package contract

// Names of the routing policies.
const (
	PolicyLeast      = "least"
	PolicyRandom     = "random"
	PolicyRoundRobin = "round-robin"
	PolicyTwoChoices = "two-choices"
)

// PolicyNames returns the policies that rules and settings may name.
func PolicyNames() []string {
	return []string{PolicyLeast, PolicyRandom, PolicyRoundRobin, PolicyTwoChoices}
}
