package cicadaratelimit_test

import (
	"context"
	"fmt"
	"time"

	"cicadalink.example/cicadagateway/cicadaratelimit"
)

func ExampleLimiter() {
	members := func() cicadaratelimit.Members {
		return cicadaratelimit.Members{Live: []string{"entry-1"}, Known: 1}
	}
	now := time.Minute // since the boot
	limiter := cicadaratelimit.New("entry-1", members, func(string, cicadaratelimit.Message) {},
		cicadaratelimit.WithClock(func() time.Duration { return now }), cicadaratelimit.WithSlack(0))
	for range 20 {
		now += cicadaratelimit.TickInterval
		limiter.Tick()
	}

	limit := cicadaratelimit.Limit{PerSecond: 2, Burst: 2}
	for range 3 {
		fmt.Println(limiter.Acquire(context.Background(), "customer-1", limit))
	}
	// Output:
	// allowed
	// allowed
	// over the limit, retry after 500ms, home "entry-1"
}
