package cicadaratelimit

// A Message is sent from one entry to another. Its keys start from 20, so that a decoder can
// tell it from other kinds of messages.
type Message struct {
	// From is the name of the sender.
	From string `cbor:"20,keyasint,omitempty"`
	// Request asks the home entry of a customer for tokens, or returns some.
	Request *Request `cbor:"21,keyasint,omitempty"`
	// Reply answers a request.
	Reply *Reply `cbor:"22,keyasint,omitempty"`
	// View says which entries the sender is in contact with.
	View *View `cbor:"23,keyasint,omitempty"`
}

// A Request asks the home entry of a customer for tokens, returns unused ones, or reports the
// initial tokens of an earlier home.
type Request struct {
	// ID is the time at which the request was sent, by the clock of the sender, in
	// nanoseconds. It differs between the requests of a sender.
	ID int64 `cbor:"1,keyasint"`
	// Customer is the customer's name.
	Customer string `cbor:"2,keyasint"`
	// PerSecond and Burst are the limit that the sender knows. They apply where the home
	// entry has no view of its own.
	PerSecond float64 `cbor:"3,keyasint"`
	Burst     float64 `cbor:"4,keyasint,omitempty"`
	// Want is the number of tokens, of which Waiting are for requests that wait now. A
	// request for none has no reply.
	Want    int64 `cbor:"5,keyasint,omitempty"`
	Waiting int64 `cbor:"6,keyasint,omitempty"`
	// Refused is the number of callers that the sender has refused on its own since its last
	// request.
	Refused int64 `cbor:"7,keyasint,omitempty"`
	// Unused is the number of tokens that the sender returns to Bucket.
	Unused int64 `cbor:"8,keyasint,omitempty"`
	// Bucket is the one that granted tokens to the sender last.
	Bucket uint64 `cbor:"9,keyasint,omitempty"`
	// Spent is the number of initial tokens that the sender got from new buckets within the
	// last window, or has granted as a new home.
	Spent int64 `cbor:"10,keyasint,omitempty"`
	// InsteadOf is the home entry that has replied that it is not ready.
	InsteadOf string `cbor:"11,keyasint,omitempty"`
}

// Statuses of replies.
const (
	statusGranted         = iota // Tokens are granted, possibly 0
	statusUnknownCustomer        // the home entry has no such customer
	statusNotReady               // the home entry has just started or resumed
	statusNotHome                // another entry is the home
)

// A Reply answers a request.
type Reply struct {
	// ID and Customer are those of the request.
	ID       int64  `cbor:"1,keyasint"`
	Customer string `cbor:"2,keyasint"`
	// Status is statusGranted or the reason why the request was not served.
	Status int `cbor:"3,keyasint,omitempty"`
	// Home is the home entry in the view of the sender, if that isn't the sender.
	Home string `cbor:"4,keyasint,omitempty"`
	// Tokens is the number of tokens granted.
	Tokens int64 `cbor:"5,keyasint,omitempty"`
	// Bucket identifies the bucket that the tokens are from. Initial of them are from its
	// initial level, and not from its refill.
	Bucket  uint64 `cbor:"6,keyasint,omitempty"`
	Initial int64  `cbor:"7,keyasint,omitempty"`
	// NextMicros is the time until another request may be granted tokens. RetryMicros is the
	// time after which the first refused caller should retry, and StepMicros the time between the
	// retries of two refused callers. All are in microseconds.
	NextMicros  int64 `cbor:"8,keyasint,omitempty"`
	RetryMicros int64 `cbor:"9,keyasint,omitempty"`
	StepMicros  int64 `cbor:"10,keyasint,omitempty"`
}

// A View says which entries the sender is in contact with, for receivers that are in contact
// with others.
type View struct {
	// Live is a hash of the names of the entries in contact.
	Live uint64 `cbor:"1,keyasint"`
	// Missing names entries that the sender was in contact with, and no longer is.
	Missing []string `cbor:"2,keyasint,omitempty"`
	// Known is the number of entries that the sender knows.
	Known int `cbor:"3,keyasint,omitempty"`
}
