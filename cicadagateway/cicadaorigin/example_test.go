package cicadaorigin_test

import (
	"context"
	"fmt"

	"cicadalink.example/cicadagateway/cicadaorigin"
)

func ExampleTracker() {
	versions := cicadaorigin.NewVersions()
	holder := cicadaorigin.NewTracker("entry-2", versions)
	tracker := cicadaorigin.NewTracker("entry-1", versions,
		cicadaorigin.WithSend(func(_ string, m cicadaorigin.Message) { holder.Receive(m) }))
	tracker.SetMembers([]string{"entry-2"})
	tracker.Begin("request-7", cicadaorigin.Origin{Service: "assistants", Version: "v2"}, false)

	origin, err := holder.Find(context.Background(), "request-7", []string{"assistants"})
	fmt.Println(origin.Version, err)
	_, err = holder.Find(context.Background(), "request-8", []string{"assistants"})
	fmt.Println(err)
	// Output:
	// v2 <nil>
	// cicadaorigin: unknown origin
}
