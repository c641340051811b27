package cicadaplace

import (
	"math"
	"math/bits"
	"time"
)

const (
	// speedLoadBuckets is the number of ranges of load, each an equal part of the slots.
	speedLoadBuckets = 4
	// speedSizeBuckets is the number of ranges of prompt sizes, by powers of two of the tokens.
	speedSizeBuckets = 16
	// minCellSamples is the number of samples from which a cell serves as a baseline.
	minCellSamples = 3
	// maxCellSamples is the number of samples that the running mean of a cell spans.
	maxCellSamples = 50
)

// A speedCell is the running mean of the logarithms of the times, in seconds, that a service takes
// for requests of one kind and size under one load. The slowness of the endpoint is subtracted from
// each sample: slow endpoints get less load, and would otherwise define the baseline at low load.
type speedCell struct {
	mean    float64
	samples int
}

// maxCellDeviation limits the difference of a sample from the mean of a cell with many samples, as a
// logarithm. An endpoint that has become slow must raise its own estimate and not the cells.
var maxCellDeviation = math.Log(1.5)

func (c *speedCell) trained() bool { return c.samples >= minCellSamples }

func (c *speedCell) add(x float64) {
	if c.samples >= maxCellSamples/2 {
		x = min(max(x, c.mean-maxCellDeviation), c.mean+maxCellDeviation)
	}
	c.samples = min(c.samples+1, maxCellSamples)
	c.mean += (x - c.mean) / float64(c.samples)
}

// A serviceSpeed is what is known about the speed of a service as a whole.
type serviceSpeed struct {
	cells [speedKinds][speedLoadBuckets][speedSizeBuckets]speedCell
	// level is added to all cells. It absorbs what most endpoints have in common, which is load: each
	// refresh moves the median of their estimates to it. Cells change too slowly for this, and
	// estimates without recent samples would then be relative to another baseline.
	level       float64
	refreshedAt time.Time
	slow        int       // endpoints slower than the dead zone
	avoided     int       // endpoints that are avoided or on trial
	limited     int       // endpoints that run fewer requests well than they have slots
	values      []float64 // reused by refresh
}

// cell returns the cell of requests of a kind, with prompts of a size in tokens, at an endpoint that
// runs load requests, and the cell that serves as their baseline: the same, or the trained cell of
// the nearest load.
func (s *serviceSpeed) cell(kind speedKind, load, slots, size int) (own, baseline *speedCell) {
	bucket := min(max(load, 0)*speedLoadBuckets/max(slots, 1), speedLoadBuckets-1)
	column := min(bits.Len(uint(max(size, 0))), speedSizeBuckets-1)
	own = &s.cells[kind][bucket][column]
	for distance := range speedLoadBuckets {
		for _, near := range [2]int{bucket + distance, bucket - distance} {
			if near >= 0 && near < speedLoadBuckets && s.cells[kind][near][column].trained() {
				return own, &s.cells[kind][near][column]
			}
		}
	}
	return own, own
}
