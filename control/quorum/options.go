package quorum

type options struct {
	electionTicks   int
	heartbeatTicks  int
	maxBatchBytes   int
	maxInFlight     uint64 // entries sent to a replica and not acknowledged
	maxPromotionLag uint64 // entries that a learner may lack when it is promoted
	seed            uint64
}

func defaultOptions() options {
	return options{
		electionTicks: 12, heartbeatTicks: 2, maxBatchBytes: 256 << 10,
		maxInFlight: 8192, maxPromotionLag: 1024, seed: 1,
	}
}

// Option changes how a replica works.
type Option func(*options)

// WithElectionTicks sets the shortest election timeout.
func WithElectionTicks(n int) Option { return func(o *options) { o.electionTicks = n } }

// WithHeartbeatTicks sets the time between heartbeats.
func WithHeartbeatTicks(n int) Option { return func(o *options) { o.heartbeatTicks = n } }

// WithMaxBatchBytes bounds the entries of one message.
func WithMaxBatchBytes(n int) Option { return func(o *options) { o.maxBatchBytes = n } }

// WithMaxInFlight bounds the entries that wait for a replica's answer.
func WithMaxInFlight(n uint64) Option { return func(o *options) { o.maxInFlight = n } }

// WithMaxPromotionLag bounds what a learner may lack when it is promoted.
func WithMaxPromotionLag(n uint64) Option { return func(o *options) { o.maxPromotionLag = n } }

// WithSeed sets the seed of the election timeouts.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }
