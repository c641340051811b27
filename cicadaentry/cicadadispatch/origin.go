package cicadadispatch

import "cicadalink.example/cicadakernel/cicadawire"

// canContinue reports whether another attempt can begin the response or continue what there
// is of it: text of a known software version, below maxResumeTextBytes.
func (r *run) canContinue() bool {
	return !r.headSent && (r.chunks == 0 || (r.began != nil && len(r.resumeText) < maxResumeTextBytes))
}

// recordOrigin records which software version begins the response. It reports false if an
// attempt that continues it does not state the same version in its first frame.
func (r *run) recordOrigin(frame *cicadawire.Frame) bool {
	switch {
	case frame.GetIndex() > 0:
		return true
	case r.chunks == 0:
		r.began = frame.SoftwareVersion
		return true
	}
	return frame.SoftwareVersion != nil && frame.GetSoftwareVersion() == *r.began
}
