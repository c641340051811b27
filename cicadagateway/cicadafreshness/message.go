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

// A Query asks for a confirmation. Its fields are echoed in the reply and are interpreted only by
// the process that sent the query.
type Query struct {
	_ struct{} `cbor:",toarray"`
	// Incarnation is a random number of the sending process. It distinguishes the process from an
	// earlier one of the same name.
	Incarnation uint64
	// Stamp is when the query was sent, by the sender's clock.
	Stamp time.Duration
}

// A Reply holds the sender's confirmation, and the query that it answers.
type Reply struct {
	_ struct{} `cbor:",toarray"`
	// Query is the query that the reply answers.
	Query Query
	// Version is the version that is confirmed, or 0 if the sender has no confirmation.
	Version int64
	// Age is the age of the confirmation when the reply was sent, by the sender's clock.
	Age time.Duration
}
