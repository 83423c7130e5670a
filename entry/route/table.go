package route

import "sync"

// policyTable holds one policy per name. Policies are shared because they may
// have state, such as the position of round robin.
type policyTable struct {
	build func(name string) Policy
	all   sync.Map // name to Policy
}

func newPolicyTable(build func(name string) Policy) *policyTable {
	return &policyTable{build: build}
}

// get returns the policy with the name, or nil if there is none.
func (t *policyTable) get(name string) Policy {
	if p, ok := t.all.Load(name); ok {
		return p.(Policy)
	}
	p := t.build(name)
	if p == nil {
		return nil
	}
	stored, _ := t.all.LoadOrStore(name, p)
	return stored.(Policy)
}
