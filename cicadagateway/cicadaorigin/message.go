package cicadaorigin

// An Origin is the service and the version of its software that began a stream.
type Origin struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Version string
}

// A Record is the origin of one stream.
type Record struct {
	_      struct{} `cbor:",toarray"`
	Stream string   // id of the request that got the stream's first event
	Origin Origin
}

// A Message is sent from one member to another.
type Message struct {
	// From is the name of the sender of a query or a reply.
	From string `cbor:"1,keyasint,omitempty"`
	// Records are to be kept by the receiver.
	Records []Record `cbor:"2,keyasint,omitempty"`
	// Query asks for the record of a stream.
	Query string `cbor:"3,keyasint,omitempty"`
	// Reply answers a query.
	Reply *Reply `cbor:"4,keyasint,omitempty"`
}

// A Reply answers a query for the record of a stream.
type Reply struct {
	Stream string `cbor:"1,keyasint"`
	// Origin is nil if the member has no record of the stream.
	Origin *Origin `cbor:"2,keyasint,omitempty"`
	// VersionsDigest is that of the versions that the member knows, see Versions.Digest.
	VersionsDigest uint64 `cbor:"3,keyasint,omitempty"`
}
