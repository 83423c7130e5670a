package route

import "sync"

// policyTable holds one policy of each name; a policy may have state, such as
// whose turn it is.
type policyTable struct {
	build func(name string) Policy
	all   sync.Map // of Policy by name
}

func newPolicyTable(build func(name string) Policy) *policyTable {
	return &policyTable{build: build}
}

// get returns the policy of a name, or nil.
func (t *policyTable) get(name string) Policy {
	if p, ok := t.all.Load(name); ok {
		return p.(Policy)
	}
	p := t.build(name)
	if p == nil {
		return nil
	}
	kept, _ := t.all.LoadOrStore(name, p)
	return kept.(Policy)
}
