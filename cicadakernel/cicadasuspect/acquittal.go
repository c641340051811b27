package cicadasuspect

import "time"

// A SoundPart is a part of prompts that was found sound.
type SoundPart struct {
	Part   uint64
	SentAt time.Time // of the request that was answered
	// Complete is set if it was answered completely, and not only begun.
	Complete bool
	// Released is set if the part was quarantined.
	Released bool
}

// A release is the end of a quarantine of a part that was found sound.
type release struct {
	sound SoundPart
	at    time.Time
	// before is the sample of sound requests before the quarantine, as there were none during it.
	before sample
}

// voids reports whether the sound request was sent after the crash that a quarantine is for.
func (r release) voids(q PartQuarantine) bool {
	return r.sound.SentAt.After(q.Since) && (q.Early || r.sound.Complete)
}

// RecordAnswer records that a request with the given parts, sent at sentAt, has got its first
// event. It returns the parts that are found not to crash endpoints before it, if other
// processes should be told.
func (t *PartTable) RecordAnswer(parts []uint64, sentAt, now time.Time) []SoundPart {
	if len(parts) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.begun.add(parts, 1, now)
	return t.acquitAll(parts, beforeFirstEvent, sentAt, now)
}

// RecordSuccess records that a request with the given parts, sent at sentAt, was answered from
// the first event to the last. It returns the parts that were under suspicion and are found
// sound, if other processes should be told.
func (t *PartTable) RecordSuccess(request uint64, parts []uint64, sentAt, now time.Time) []SoundPart {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.log.acquitRequest(request, sentAt)
	if len(parts) == 0 {
		return nil
	}
	t.completed.add(parts, 1, now)
	t.runTime.add(parts, now.Sub(sentAt).Seconds(), now)
	return t.acquitAll(parts, wholeRun, sentAt, now)
}

func (t *PartTable) acquitAll(parts []uint64, p phase, sentAt, now time.Time) (sound []SoundPart) {
	for _, part := range parts {
		if released, matters := t.acquit(part, p, sentAt, now); matters {
			sound = append(sound, SoundPart{Part: part, SentAt: sentAt, Complete: p == wholeRun, Released: released})
		}
	}
	return sound
}

// acquit drops the evidence against a part from before sentAt. It reports whether the part was
// quarantined, and whether this matters to others: it was quarantined or close to it.
func (t *PartTable) acquit(part uint64, p phase, sentAt, now time.Time) (released, matters bool) {
	dropped := t.log.acquit(part, p, sentAt)
	if s := t.states[part]; s != nil && s.since.Before(sentAt) && (p == wholeRun || s.early) {
		return t.release(part, p, sentAt, now), true
	}
	return false, dropped >= minCrashedRequests-1
}

// release ends the quarantine of a part of which a request has got through a phase. The crashes that
// the part has explained are evidence again. If they are enough against the part, though a first
// event has acquitted it of those before it, it stays quarantined, and release reports false.
func (t *PartTable) release(part uint64, p phase, sentAt, now time.Time) bool {
	s := t.states[part]
	t.log.reopen(part)
	t.log.acquit(part, p, sentAt)
	if t.causesCrashes(part, wholeRun) {
		t.log.explain(part, now)
		s.early = false
		return false
	}
	delete(t.states, part)
	if len(t.released) < maxQuarantine {
		sound := SoundPart{Part: part, SentAt: sentAt, Complete: p == wholeRun, Released: true}
		t.released[part] = release{sound: sound, at: now, before: s.before}
	}
	return true
}

// RecordSound records that another process has found a part sound.
func (t *PartTable) RecordSound(part SoundPart, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := beforeFirstEvent
	if part.Complete {
		p = wholeRun
	}
	t.acquit(part.Part, p, part.SentAt, now)
}
