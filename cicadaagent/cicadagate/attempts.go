package cicadagate

import (
	"container/list"
	"sync"

	"cicadalink.example/cicadaagent/cicadaengine"
	"cicadalink.example/cicadakernel/cicadawire"
)

const (
	maxAttemptRecords = 20000
	// A response is stored only if it has at most maxStoredResponseBytes and the
	// table holds at most maxRecordsWithResponses records.
	maxStoredResponseBytes  = 16 << 10
	maxRecordsWithResponses = 2000
)

// attemptTable records the non-idempotent calls with an idempotency key that
// reached this endpoint. It is the second safeguard against duplicates; the first is
// the durable claim of the key, made before the call is sent. When the table is full,
// the oldest record is evicted. The zero value is ready to use.
type attemptTable struct {
	mu    sync.Mutex
	byKey map[attemptKey]*list.Element
	byAge list.List
}

type attemptKey struct{ customer, key string }

type attemptRecord struct {
	key    attemptKey
	state  cicadawire.AttemptState
	status int32
	body   []byte
}

// attemptKeyOf returns the key under which a call is tracked. It reports false for
// calls that are not tracked.
func attemptKeyOf(call *cicadawire.Call) (attemptKey, bool) {
	key := attemptKey{call.GetCustomer(), call.GetKey()}
	return key, call.GetNonIdempotent() && key.key != ""
}

// begin records that a call starts. It reports false if the call's key is already
// recorded, and the call must not run.
func (a *attemptTable) begin(call *cicadawire.Call) bool {
	key, tracked := attemptKeyOf(call)
	if !tracked {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, exists := a.byKey[key]; exists {
		return false
	}
	a.insert(&attemptRecord{key: key, state: cicadawire.AttemptState_RUNNING})
	return true
}

func (a *attemptTable) insert(record *attemptRecord) {
	if a.byKey == nil {
		a.byKey = make(map[attemptKey]*list.Element)
	}
	a.byKey[record.key] = a.byAge.PushBack(record)
	if a.byAge.Len() > maxAttemptRecords {
		oldest := a.byAge.Remove(a.byAge.Front()).(*attemptRecord)
		delete(a.byKey, oldest.key)
	}
}

// forget removes the record of a call that the engine has not executed, so that the
// call can be sent again.
func (a *attemptTable) forget(call *cicadawire.Call) {
	key, tracked := attemptKeyOf(call)
	if !tracked {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if element, exists := a.byKey[key]; exists {
		a.byAge.Remove(element)
		delete(a.byKey, key)
	}
}

// abandon records that a call ended without a complete response. Its outcome
// is unknown.
func (a *attemptTable) abandon(call *cicadawire.Call) {
	key, tracked := attemptKeyOf(call)
	if !tracked {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if element, exists := a.byKey[key]; exists {
		element.Value.(*attemptRecord).state = cicadawire.AttemptState_ABANDONED
	}
}

// finish records a call's response.
func (a *attemptTable) finish(call *cicadawire.Call, chunks []cicadaengine.Chunk) {
	key, tracked := attemptKeyOf(call)
	if !tracked {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	element, exists := a.byKey[key]
	if !exists {
		return
	}
	record := element.Value.(*attemptRecord)
	record.state = cicadawire.AttemptState_FINISHED
	for _, c := range chunks {
		if c.Head {
			record.status = int32(c.Status)
		}
		record.body = append(record.body, c.Data...)
	}
	if len(record.body) > maxStoredResponseBytes || a.byAge.Len() > maxRecordsWithResponses {
		record.body, record.status = nil, 0
	}
}

// query returns the state of a call, and its response if that is stored. If the key
// is not recorded, query records it as UNKNOWN. The call is then rejected if it
// arrives later, so that the entry can rely on the reply.
func (a *attemptTable) query(customer, key string) *cicadawire.AttemptReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	element, exists := a.byKey[attemptKey{customer, key}]
	if !exists {
		a.insert(&attemptRecord{key: attemptKey{customer, key}, state: cicadawire.AttemptState_UNKNOWN})
		return &cicadawire.AttemptReply{State: cicadawire.AttemptState_UNKNOWN}
	}
	record := element.Value.(*attemptRecord)
	return &cicadawire.AttemptReply{State: record.state, Status: record.status, Body: record.body}
}
