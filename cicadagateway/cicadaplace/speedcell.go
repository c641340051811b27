package cicadaplace

import (
	"math"
	"math/bits"
	"time"
)

const (
	speedLoadBuckets = 4
	speedSizeBuckets = 16
	minCellSamples   = 3  // before a cell tells whether a sample is fast or slow
	cellMemory       = 50 // samples
)

// A speedCell is the running mean of the logarithms of the times, in seconds, that a service takes
// for requests of one kind and size under one load. The slowness of the endpoints is taken out of
// it: slow endpoints get less load, and would else pass for the usual at low load.
type speedCell struct {
	mean    float64
	samples int
}

// maxCellStep is how far from the mean of a cell with many samples a sample counts, as a logarithm.
// An endpoint that has become slow is to raise its own estimate, and not the cells.
var maxCellStep = math.Log(1.5)

func (c *speedCell) trained() bool { return c.samples >= minCellSamples }

func (c *speedCell) add(x float64) {
	if c.samples >= cellMemory/2 {
		x = min(max(x, c.mean-maxCellStep), c.mean+maxCellStep)
	}
	c.samples = min(c.samples+1, cellMemory)
	c.mean += (x - c.mean) / float64(c.samples)
}

// A serviceSpeed is what is known about the speed of a service as a whole.
type serviceSpeed struct {
	cells [speedKinds][speedLoadBuckets][speedSizeBuckets]speedCell
	// level is added to all cells. It takes up what most endpoints show, which is load: at each
	// refresh, the median of their estimates becomes 0. Cells would do so too slowly, and estimates
	// without recent samples would then be compared with another usual.
	level       float64
	refreshedAt time.Time
	slow        int       // endpoints slower than the dead zone
	avoided     int       // endpoints that are avoided or on trial
	limited     int       // endpoints that run fewer requests well than they have slots
	values      []float64 // reused by refresh
}

// cell returns the cell of requests of a kind, with prompts of a size in tokens, at an endpoint
// that has load requests in its slots, and the cell that tells what is usual for these: the same, or
// that of the nearest load which is trained. Only slow endpoints may have had that load so far.
func (s *serviceSpeed) cell(kind speedKind, load, slots, size int) (own, usual *speedCell) {
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
