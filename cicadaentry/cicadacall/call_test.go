package cicadacall

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestSplitServicePath(t *testing.T) {
	name, rest, ok := SplitServicePath("/services/order-ledger/orders/7")
	assert.Assert(t, ok)
	assert.Equal(t, name, "order-ledger")
	assert.Equal(t, rest, "/orders/7")
	_, _, ok = SplitServicePath("/v1/completions")
	assert.Assert(t, !ok)
}
