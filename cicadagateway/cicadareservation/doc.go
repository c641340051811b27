// Package cicadareservation keeps the waiting tokens of a route's batch jobs within a
// limit that holds over all owners.
//
// Each limited route has a ledger in the platform's store: one object that holds a
// reservation, in tokens, for each owner. Only a conditional update changes it, and no
// update raises the sum of the reservations above the limit. An owner accepts a job only
// if the tokens that wait on its account, the job's included, fit in its reservation, so
// the owners together never exceed the limit, whether or not they hear each other. A
// job's tokens stay on the account of the owner that accepted it until its items have
// finished, even if another owner runs them.
//
// # Usage
//
//	limiter := cicadareservation.New("owner-1", store, log, cicadareservation.WithShrink(askPeers))
//	limiter.SetReady()
//	decision, err := limiter.Reserve(ctx, "intake", "7c41e0", 18400, 2_100_000)
//	if err != nil { ... the store is unavailable: refuse, the job has not been accepted ... }
//	if !decision.Granted() { ... refuse with Retry-After: decision.RetryAfter() ... }
//	limiter.SetWaiting("intake", "7c41e0", 9200) // half of the items have finished
//	limiter.Release("intake", "7c41e0")
//
// While the route has room, an owner reserves more than it needs and so accepts most
// jobs without a call. When a job does not fit, the owner asks its peers to return what
// they do not use, and takes back what is left of owners that are gone. An owner counts
// as gone only after its reservation has not been renewed for a time in which it stopped
// using it of its own accord; no two clocks are compared.
//
// The idea of a local count beside a shared one follows "Coordinated Rate Limiting in
// Microservices". There, the shared count learns of requests after they have passed, and
// the limit can be exceeded in between; here, a job is accepted only on a reservation.
package cicadareservation
