package cicadapeer

// A Role is the role of a member.
type Role uint8

// Roles of members.
const (
	RoleEntry Role = 1 + iota
	RoleOwner
)

// A Member is the name, role and address of a process.
type Member struct {
	Name    string `json:"name"`
	Role    Role   `json:"role"`
	Address string `json:"address"`
}

// An InFlight is the number of a member's requests at one endpoint.
type InFlight struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	Online   uint16
	Batch    uint16
	// RateLimit is the limit that the endpoint has lately stated to the member, in requests
	// per 1,000 seconds, -1 if it has withdrawn one, or 0.
	RateLimit int64
}

// A State is the state of a member, as it is sent to the other members.
type State struct {
	_           struct{} `cbor:",toarray"`
	Member      Member
	Incarnation int64
	Sequence    uint64
	// StoreUp reports whether the member reaches the platform's store, and StoreAge is
	// the time in milliseconds since the last successful call to the store.
	StoreUp  bool
	StoreAge uint32
	// StoreStable reports whether the member's calls to the store have succeeded
	// continuously for some seconds.
	StoreStable bool
	// StoreSettled reports whether the member has lately not failed to reach the store.
	StoreSettled bool
	// SendDelay is how long, in milliseconds, a change of the state waited for this message.
	SendDelay uint16
	// Leaving reports whether the member is shutting down or is to be retired.
	Leaving       bool
	ConfigVersion int64
	// EndpointsAsOf is the version of the store that the member's view of the endpoints
	// reflects, and EndpointsDigest a hash of that view.
	EndpointsAsOf   int64
	EndpointsDigest uint64
	// VersionsDigest is a hash of the versions of all services that may have streams in
	// progress, as the member knows them.
	VersionsDigest uint64
	InFlight       []InFlight
	// Refusals lists endpoints that have just refused connections of the member.
	Refusals []string
	// NotReceived lists the known members whose messages this member does not receive
	// directly.
	NotReceived []string
	// Relayed holds the states of members whose messages some other member does not
	// receive directly.
	Relayed []State
	// CrashReports lists new reports of runs during which the endpoint's connection broke.
	CrashReports []CrashReport
	// Quarantines lists the requests that are not sent to endpoints. Every message holds
	// them, for members that did not receive the reports.
	Quarantines []Quarantine
	// PartQuarantines lists the parts of prompts that are not sent to endpoints, and
	// SoundParts those that the member has lately found sound.
	PartQuarantines []PartQuarantine
	SoundParts      []SoundPart
	// SentAt is when the member sent the state, in milliseconds since its incarnation began, by
	// its monotonic clock.
	SentAt uint64
	// Roster lists the owners among which the member, if it is an owner, divides the jobs. It is
	// nil if it has not changed since a recent message.
	Roster []RosterEntry
	// Unreachable lists endpoints to which the member could not connect in time.
	Unreachable []string
	// Speeds holds new samples of how fast endpoints are.
	Speeds []SpeedSample
	// Usage lists the customers for which the member has recently done the most work. Only some
	// messages contain it, and a message without it does not mean that there is none.
	Usage []CustomerUsage
}

// A CustomerUsage is the recent work of a member for a customer.
type CustomerUsage struct {
	_        struct{} `cbor:",toarray"`
	Customer uint64   // hash of the name
	Work     uint64   // decayed, in tokens
}

// A SpeedSample sums up a member's measurements of the speed of an endpoint, relative to its service.
type SpeedSample struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	Ratio    int8  // logarithm of the ratio to the typical time of the service, in units of 1/32
	Weight   uint8 // number of measurements
}

// A CrashReport reports a run of a request during which the endpoint's connection broke.
type CrashReport struct {
	_       struct{} `cbor:",toarray"`
	Request uint64   // fingerprint of the request
	Run     uint64   // identifies the run
	// Endpoint identifies the endpoint. Parts holds the parts of the prompt that other
	// requests may share.
	Endpoint uint64
	Parts    []uint64
	// Age is the time since the run was sent, in milliseconds. Answered reports whether it had got an
	// event, and Lost whether the endpoint may not have crashed.
	Age      uint32
	Answered bool
	Lost     bool
}

// A Quarantine is a request that is not sent to endpoints, and for how long, in
// milliseconds.
type Quarantine struct {
	_         struct{} `cbor:",toarray"`
	Request   uint64   // fingerprint of the request
	Remaining uint32
}

// A PartQuarantine is a part of prompts that is not sent to endpoints, for how long, in
// milliseconds, and how often it was quarantined before. Age is the time since the crash that it was
// suspected for, in milliseconds, and Early reports whether an event acquits it.
type PartQuarantine struct {
	_         struct{} `cbor:",toarray"`
	Part      uint64
	Remaining uint32
	Level     uint8
	Age       uint32
	Early     bool
}

// A SoundPart is a part of prompts of which a request was answered that was sent Age milliseconds
// ago. Complete reports whether the answer is complete, and not only begun.
type SoundPart struct {
	_        struct{} `cbor:",toarray"`
	Part     uint64
	Age      uint32
	Complete bool
}
