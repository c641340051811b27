package cicadabatch

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadaview"
	adapter "cicadalink.example/platform"
)

// Guards against a customer that reads or ends the jobs of another one.
func TestJobsBelongToTheirCustomer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		o := d.startOwner("o1", fixedOwners("o1"))
		defer o.stop()
		time.Sleep(time.Second)
		submit := submitCall("j", manyEvents)
		submit.Customer = "a"
		assert.Equal(t, o.call(t, submit).Status, http.StatusAccepted)
		for customer, want := range map[string]int{"a": http.StatusOK, "b": http.StatusNotFound, "": http.StatusNotFound} {
			for _, c := range []*Call{{Kind: CallReadResults}, {Kind: CallReadItem, Item: "j-0"}} {
				c.Job, c.Customer = "j", customer
				assert.Equal(t, o.call(t, c).Status, want, "customer %q", customer)
			}
		}
		assert.Equal(t, o.call(t, &Call{Kind: CallEndJob, Job: "j", Customer: "b"}).Status, http.StatusNotFound)
		assert.Equal(t, o.call(t, submit).Status, http.StatusAccepted)
		submit.Customer = "b"
		assert.Equal(t, o.call(t, submit).Status, http.StatusConflict)
		assert.Equal(t, o.call(t, &Call{Kind: CallEndJob, Job: "j", Customer: "a"}).Status, http.StatusOK)
	})
}

// Guards against a customer that is told that its job is accepted, while it is that of another customer, which
// submits one with the same id at the same time.
func TestSubmissionsOfTwoCustomersAreNotOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		create := d.backend.Create
		d.backend.Create = func(ctx context.Context, name string, value []byte) (cicadaplatform.Object, error) {
			time.Sleep(100 * time.Millisecond)
			return create(ctx, name, value)
		}
		o := d.startOwner("o1", fixedOwners("o1"))
		defer o.stop()
		time.Sleep(time.Second)
		statuses := make(chan int, 2)
		for _, customer := range []string{"a", "b"} {
			submit := submitCall("j", manyEvents)
			submit.Customer = customer
			go func() { statuses <- o.call(t, submit).Status }()
			time.Sleep(10 * time.Millisecond)
		}
		assert.Equal(t, <-statuses+<-statuses, http.StatusAccepted+http.StatusConflict)
	})
}

// Guards against tokens that stay reserved for a job that was not accepted, as another customer has one with the
// same id, so that jobs which fit are refused.
func TestTokensOfAConflictingJobAreReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newLimitedDeployment(500)
		d.stalled = true
		create := d.backend.Create
		d.backend.Create = func(ctx context.Context, name string, value []byte) (cicadaplatform.Object, error) {
			time.Sleep(100 * time.Millisecond)
			return create(ctx, name, value)
		}
		o := d.startLimited("o1", fixedOwners("o1"))
		defer o.stop()
		time.Sleep(time.Second)
		submit := func(id, customer string) int {
			c := limitedCall(id, 900, 900, 900, 900, 900)
			c.Customer = customer
			return o.call(t, c).Status
		}
		go submit("j1", "a")
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, submit("j1", "b"), http.StatusConflict)
		assert.Equal(t, submit("j2", "b"), http.StatusAccepted)
	})
}

// Guards against a caller without a key that is told that its job is accepted, while it is that of a customer
// which another owner has stored.
func TestJobOfACustomerIsNoRepeatForCallersWithoutOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		d.config.SetCustomers([]cicadaview.Customer{{Name: "a"}})
		o := d.startOwner("o1", fixedOwners("o1"))
		defer o.stop()
		time.Sleep(time.Second)
		submit := submitCall("j", manyEvents)
		submit.Customer = "a"
		assert.Equal(t, o.call(t, submit).Status, http.StatusAccepted)
		submit.Customer = ""
		assert.Equal(t, o.confirmRepeat(t.Context(), submit).Status, http.StatusConflict)
	})
}

// Guards against items that reach an endpoint with a key or under the name of another customer, and against
// keys in stored jobs.
func TestItemsRunInTheNameOfTheirCustomer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		o := d.startOwner("o1", fixedOwners("o1"))
		defer o.stop()
		time.Sleep(time.Second)
		submit := submitCall("j", 2)
		submit.Customer = "a"
		submit.Body = []byte(strings.Replace(string(submit.Body), `"X-Model":"m"`, `"X-Model":"m","api-key":"secret","X-Tenant":"b"`, 1))
		assert.Equal(t, o.call(t, submit).Status, http.StatusAccepted)
		time.Sleep(time.Second)
		d.mu.Lock()
		defer d.mu.Unlock()
		header := d.headers["j-0"]
		assert.Equal(t, header.Get(adapter.HeaderCustomer), "a")
		assert.Equal(t, header.Get(adapter.HeaderKey), "")
		assert.Equal(t, header.Get("X-Model"), "m")
		obj, err := o.store.Get(t.Context(), JobsPrefix+"j")
		assert.NilError(t, err)
		assert.Assert(t, !strings.Contains(string(obj.Value()), "secret"))
	})
}
