package route

// Part is a host's part of the instances of a service that several hosts
// serve: in order of their ids, every Of-th one from At on. The zero value is
// the whole.
type Part struct {
	At int
	Of int
}

// Owns reports whether an instance at a position of the view is in the part.
func (p Part) Owns(at int) bool { return p.Of < 2 || at%p.Of == p.At }

// WithParts sets this host's part of each service's instances. A host uses its
// part first, of which it knows all requests, and others only while that is
// busy.
func WithParts(part func(service string) Part) Option { return func(r *Router) { r.part = part } }
