package cicadagate

import (
	"container/list"
	"sync"

	"cicadalink.example/cicadaagent/cicadaengine"
	"cicadalink.example/cicadakernel/cicadawire"
)

const (
	keptAttempts      = 20000
	keptAnswerBytes   = 16 << 10
	keptAnswersAtMost = 2000
)

// attempts remembers the keyed non-idempotent calls that reached this
// endpoint. It is the second line of defence: the durable claim is the first.
// The zero value is ready to use.
type attempts struct {
	mu    sync.Mutex
	byKey map[attemptKey]*list.Element
	order list.List
}

type attemptKey struct{ customer, key string }

type attempt struct {
	key    attemptKey
	state  cicadawire.AttemptState
	status int32
	body   []byte
}

func keyOf(call *cicadawire.Call) (attemptKey, bool) {
	key := attemptKey{call.GetCustomer(), call.GetKey()}
	return key, call.GetNonIdempotent() && key.key != ""
}

// begin records that a call starts. It reports false when its key has run.
func (a *attempts) begin(call *cicadawire.Call) bool {
	key, keyed := keyOf(call)
	if !keyed {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.byKey[key]; known {
		return false
	}
	a.insert(&attempt{key: key, state: cicadawire.AttemptState_RUNNING})
	return true
}

func (a *attempts) insert(entry *attempt) {
	if a.byKey == nil {
		a.byKey = make(map[attemptKey]*list.Element)
	}
	a.byKey[entry.key] = a.order.PushBack(entry)
	if a.order.Len() > keptAttempts {
		oldest := a.order.Remove(a.order.Front()).(*attempt)
		delete(a.byKey, oldest.key)
	}
}

// forget drops a call that the engine has not seen.
func (a *attempts) forget(call *cicadawire.Call) {
	key, keyed := keyOf(call)
	if !keyed {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if element, known := a.byKey[key]; known {
		a.order.Remove(element)
		delete(a.byKey, key)
	}
}

// abandon records that a call ended without an answer, so that its outcome is
// not known here.
func (a *attempts) abandon(call *cicadawire.Call) {
	key, keyed := keyOf(call)
	if !keyed {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if element, known := a.byKey[key]; known {
		element.Value.(*attempt).state = cicadawire.AttemptState_ABANDONED
	}
}

// finish records a call's answer.
func (a *attempts) finish(call *cicadawire.Call, chunks []cicadaengine.Chunk) {
	key, keyed := keyOf(call)
	if !keyed {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	element, known := a.byKey[key]
	if !known {
		return
	}
	entry := element.Value.(*attempt)
	entry.state = cicadawire.AttemptState_FINISHED
	for _, c := range chunks {
		if c.Head {
			entry.status = int32(c.Status)
		}
		entry.body = append(entry.body, c.Data...)
	}
	if len(entry.body) > keptAnswerBytes || a.order.Len() > keptAnswersAtMost {
		entry.body, entry.status = nil, 0
	}
}

// query returns what became of a call. A call that is not known is sealed: it
// will not start here any more, so that the asker may rely on the answer.
func (a *attempts) query(customer, key string) *cicadawire.AttemptReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	element, known := a.byKey[attemptKey{customer, key}]
	if !known {
		a.insert(&attempt{key: attemptKey{customer, key}, state: cicadawire.AttemptState_UNKNOWN})
		return &cicadawire.AttemptReply{State: cicadawire.AttemptState_UNKNOWN}
	}
	entry := element.Value.(*attempt)
	return &cicadawire.AttemptReply{State: entry.state, Status: entry.status, Body: entry.body}
}
