package cicadacheck_test

import (
	"fmt"

	"cicadalink.example/cicadakernel/cicadacheck"
	"cicadalink.example/cicadakernel/cicadaview"
)

func ExampleCheck() {
	targets := []cicadaview.Target{{Service: "assistants", Weight: 1}}
	config := cicadaview.NewConfig(7, []cicadaview.Route{
		{Name: "quotes", Host: "desk.example", Prefix: "/quotes/", Targets: targets},
		{Name: "again", Host: "desk.example", Prefix: "/quotes/", Targets: targets},
	}, []cicadaview.Service{{Name: "assistants"}}, cicadaview.Limits{})
	for _, f := range cicadacheck.Check(config) {
		fmt.Printf("%s: %s (%s)\n", f.Field(), f.Message(), f.Code())
	}
	// Output: routes[1].prefix: never matches: routes[0] has the same host and prefix (shadowed-route)
}

func ExampleCompare() {
	routes := []cicadaview.Route{{Name: "quotes", Host: "desk.example", Prefix: "/", Targets: []cicadaview.Target{{Service: "assistants", Weight: 1}}}}
	config := func(version int64, keys ...string) *cicadaview.Config {
		c := cicadaview.NewConfig(version, routes, nil, cicadaview.Limits{})
		customer := cicadaview.Customer{Name: "mallet-shop"}
		for _, key := range keys {
			customer.Keys = append(customer.Keys, cicadaview.DigestKey(key))
		}
		c.SetCustomers([]cicadaview.Customer{customer})
		return c
	}
	for _, c := range cicadacheck.Compare(config(1, "old", "kept"), config(2, "kept", "new")) {
		fmt.Printf("%s: %s: %s\n", c.Effect(), c.Field(), c.Message())
	}
	// Output:
	// keys-withdrawn: customers[0].keys: key cba06b57 of mallet-shop
	// keys-added: customers[0].keys[1]: key 11507a0e of mallet-shop
}
