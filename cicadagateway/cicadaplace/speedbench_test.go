package cicadaplace

import (
	"fmt"
	"testing"
	"time"

	"cicadalink.example/cicadakernel/cicadaview"
)

// newLargeTable returns a table of the design size, all of whose endpoints have samples.
func newLargeTable() *Table {
	table := NewTable("me", WithSpeedLearning())
	all := make([]cicadaview.Endpoint, 2400)
	for i := range all {
		all[i] = cicadaview.Endpoint{ID: fmt.Sprintf("dc-1-model-e-%04d", i), Service: fmt.Sprint("s", i%10), Slots: 8}
	}
	table.SetEndpoints(all)
	now := time.Now()
	for i, e := range all {
		table.endpointsByID[e.ID].speed.add(float64(i%40)/40, now)
		table.MergeSpeed([]SpeedSample{{Endpoint: e.ID, Ratio: int8(i % 20), Weight: 3}}, now)
	}
	return table
}

// BenchmarkLocalSpeed measures the samples for one message, including the slowness of all endpoints.
func BenchmarkLocalSpeed(b *testing.B) {
	table := newLargeTable()
	now := time.Now()
	for b.Loop() {
		now = now.Add(speedRefreshInterval)
		table.LocalSpeed(now)
	}
}

// BenchmarkMergeSpeed measures the receipt of one full message.
func BenchmarkMergeSpeed(b *testing.B) {
	table := newLargeTable()
	samples := make([]SpeedSample, maxSpeedSamples)
	for i := range samples {
		samples[i] = SpeedSample{Endpoint: fmt.Sprintf("dc-1-model-e-%04d", i), Ratio: 5, Weight: 3}
	}
	now := time.Now()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		table.MergeSpeed(samples, now)
	}
}

// BenchmarkRecordPace measures one sample of this process.
func BenchmarkRecordPace(b *testing.B) {
	table := newLargeTable()
	g := table.AcquireBatch(SlotRequest{Service: "s1"}, true)
	for b.Loop() {
		g.RecordPace(50 * time.Millisecond)
	}
}
