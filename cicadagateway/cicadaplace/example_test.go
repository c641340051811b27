package cicadaplace_test

import (
	"context"
	"fmt"

	"cicadalink.example/cicadagateway/cicadaplace"
	"cicadalink.example/cicadakernel/cicadaview"
)

func ExampleTable_Acquire() {
	table := cicadaplace.NewTable("entry-1")
	table.SetEndpoints([]cicadaview.Endpoint{{ID: "e1", Service: "assistants", Slots: 2}})
	table.SetPeer("entry-2", map[string]cicadaplace.InFlight{"e1": {Online: 1}})
	grant, err := table.Acquire(context.Background(), cicadaplace.SlotRequest{Service: "assistants"})
	fmt.Println(grant.Endpoint().ID, err)
	_, err = table.Acquire(context.Background(), cicadaplace.SlotRequest{Service: "assistants"})
	fmt.Println(err)
	// Output:
	// e1 <nil>
	// cicadaplace: all slots taken
}
