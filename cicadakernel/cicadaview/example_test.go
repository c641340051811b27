package cicadaview_test

import (
	"fmt"

	"cicadalink.example/cicadakernel/cicadaview"
)

func ExampleConfig_Route() {
	targets := []cicadaview.Target{{Service: "assistants", Weight: 90}, {Service: "trial", Weight: 10}}
	config := cicadaview.NewConfig(7, []cicadaview.Route{
		{Name: "all", Host: "desk.example", Prefix: "/", Targets: targets[:1]},
		{Name: "quotes", Host: "desk.example", Prefix: "/quotes/", Targets: targets},
	}, nil, cicadaview.Limits{})
	route, ok := config.Route("desk.example", "/quotes/17")
	fmt.Println(ok, route.Name, route.SelectService(0.5), route.SelectService(0.95))
	// Output: true quotes assistants trial
}
