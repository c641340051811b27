package cicadabatch

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadaplatform"
	adapter "cicadalink.example/platform"
)

// submitItem submits a job of one item.
func submitItem(t *testing.T, o *testOwner, it adapter.Item) Response {
	t.Helper()
	body, err := cicadaplatform.EncodeJSON(map[string]any{"Items": []adapter.Item{it}})
	assert.NilError(t, err)
	return o.call(t, &Call{Kind: CallSubmit, Job: "j", Host: "h", Path: "/j/", Due: 18 * time.Second, GiveUp: time.Minute, Body: body})
}

// TestItemHeadersDoNotFrameRequests guards against headers of an item that end its request early, so that the
// endpoint takes the rest of the body for another request.
func TestItemHeadersDoNotFrameRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		o := d.startOwner("o1", fixedOwners("o1"))
		defer o.stop()
		time.Sleep(startDelay)
		const hidden = "0\r\n\r\nPOST /j/5 HTTP/1.1\r\nHost: h\r\nX-Request-Id: hidden\r\nContent-Length: 0\r\n\r\n"
		resp := submitItem(t, o, adapter.Item{
			ID: "j-0", Path: "/j/5", Tokens: 10, Body: []byte(hidden),
			Headers: map[string]string{"transfer-encoding": "chunked", "Connection": "X-Secret", "X-Secret": "s"},
		})
		assert.Equal(t, resp.Status, http.StatusAccepted)
		time.Sleep(5 * time.Second)
		assert.DeepEqual(t, d.startedItems(), []string{"j-0"})
		assert.Equal(t, len(o.results(t, "j", 0).Results), 1)
	})
}

// TestItemsThatCannotBeSentAreRefused guards against items that are accepted, although no request can be made
// of them.
func TestItemsThatCannotBeSentAreRefused(t *testing.T) {
	for name, it := range map[string]adapter.Item{
		"path with a line end": {ID: "j-0", Path: "/j/5\r\nX-A: b"},
		"path without a slash": {ID: "j-0", Path: "j/5"},
		"id with a line end":   {ID: "j\r\n0", Path: "/j/5"},
		"header name":          {ID: "j-0", Path: "/j/5", Headers: map[string]string{"X A": "b"}},
		"header value":         {ID: "j-0", Path: "/j/5", Headers: map[string]string{"X-A": "b\nc"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newTestDeployment()
				o := d.startOwner("o1", fixedOwners("o1"))
				defer o.stop()
				time.Sleep(startDelay)
				it.Tokens = 10
				assert.Equal(t, submitItem(t, o, it).Status, http.StatusBadRequest)
				assert.Equal(t, o.call(t, &Call{Kind: CallReadResults, Job: "j"}).Status, http.StatusNotFound)
			})
		})
	}
}
