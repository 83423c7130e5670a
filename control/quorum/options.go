package quorum

type options struct {
	electionTicks   int
	heartbeatTicks  int
	maxBatchBytes   int
	maxInFlight     uint64 // unacknowledged entries per replica
	maxPromotionLag uint64 // entries that a learner may lag behind the commit index when promoted
	seed            uint64
}

func defaultOptions() options {
	return options{
		electionTicks: 12, heartbeatTicks: 2, maxBatchBytes: 256 << 10,
		maxInFlight: 8192, maxPromotionLag: 1024, seed: 1,
	}
}

// Option configures a Replica.
type Option func(*options)

// WithElectionTicks sets the minimum election timeout in ticks. Each timeout is
// drawn at random from this value up to twice as much.
func WithElectionTicks(n int) Option { return func(o *options) { o.electionTicks = n } }

// WithHeartbeatTicks sets the heartbeat interval in ticks.
func WithHeartbeatTicks(n int) Option { return func(o *options) { o.heartbeatTicks = n } }

// WithMaxBatchBytes limits the data size of the entries in one append message.
func WithMaxBatchBytes(n int) Option { return func(o *options) { o.maxBatchBytes = n } }

// WithMaxInFlight limits the unacknowledged entries in flight to a replica.
func WithMaxInFlight(n uint64) Option { return func(o *options) { o.maxInFlight = n } }

// WithMaxPromotionLag limits by how many entries a learner may lag behind the
// commit index when it is promoted.
func WithMaxPromotionLag(n uint64) Option { return func(o *options) { o.maxPromotionLag = n } }

// WithSeed sets the seed of the random election timeouts.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }
