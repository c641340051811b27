package cicadafreshness

import "time"

// A Message is sent from one process to another. Its keys differ from those of other kinds of
// messages, so that a receiver can tell them apart.
type Message struct {
	// From is the name of the sender.
	From string `cbor:"10,keyasint,omitempty"`
	// Query asks for the confirmation of the receiver.
	Query *Query `cbor:"11,keyasint,omitempty"`
	// Reply answers a query.
	Reply *Reply `cbor:"12,keyasint,omitempty"`
}

// Empty reports whether a message is of another kind.
func (m Message) Empty() bool { return m.Query == nil && m.Reply == nil }

// A Query identifies itself to its sender. Nobody else interprets its fields.
type Query struct {
	_ struct{} `cbor:",toarray"`
	// Incarnation is a random number of the sending process, as another process may have had its
	// name.
	Incarnation uint64
	// Stamp is when the query was sent, by the sender's clock.
	Stamp time.Duration
}

// A Reply holds the sender's confirmation, and the query that it answers.
type Reply struct {
	_       struct{} `cbor:",toarray"`
	Query   Query
	Version int64 // 0: the sender has no confirmation
	// Age is that of the confirmation when the reply was sent, by the sender's clock.
	Age time.Duration
}
