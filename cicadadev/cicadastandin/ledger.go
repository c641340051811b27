package cicadastandin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/julienschmidt/httprouter"
)

// A Ledger is a stand-in for an order service. It does not check idempotency keys:
// the same request sent twice creates two orders.
type Ledger struct {
	mu     sync.Mutex
	orders []order
	byKey  map[string]int
}

type order struct {
	ID   int             `json:"id"`
	Key  string          `json:"key,omitempty"`
	Body json.RawMessage `json:"body"`
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{byKey: make(map[string]int)} }

// Orders returns the number of orders.
func (l *Ledger) Orders() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.orders)
}

// Handler returns the ledger's HTTP interface: POST /orders, GET /orders,
// GET /orders/ID and GET /by-key/KEY.
func (l *Ledger) Handler() http.Handler {
	router := httprouter.New()
	router.GET("/health", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		writeJSON(w, http.StatusOK, "ok")
	})
	router.POST("/orders", l.placeOrder)
	router.GET("/orders", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		l.mu.Lock()
		defer l.mu.Unlock()
		writeJSON(w, http.StatusOK, map[string]any{"orders": l.orders})
	})
	router.GET("/orders/:id", func(w http.ResponseWriter, _ *http.Request, ps httprouter.Params) {
		id, err := strconv.Atoi(ps.ByName("id"))
		l.writeOrder(w, id, err == nil)
	})
	router.GET("/by-key/*key", func(w http.ResponseWriter, _ *http.Request, ps httprouter.Params) {
		l.mu.Lock()
		id, ok := l.byKey[ps.ByName("key")[1:]]
		l.mu.Unlock()
		l.writeOrder(w, id, ok)
	})
	return router
}

func (l *Ledger) placeOrder(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, err := io.ReadAll(r.Body)
	if err != nil || !json.Valid(body) {
		writeError(w, http.StatusBadRequest, "order is not valid JSON")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	placed := order{ID: len(l.orders) + 1, Key: r.Header.Get("Idempotency-Key"), Body: body}
	l.orders = append(l.orders, placed)
	if placed.Key != "" {
		l.byKey[placed.Key] = placed.ID
	}
	writeJSON(w, http.StatusCreated, placed)
}

func (l *Ledger) writeOrder(w http.ResponseWriter, id int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !ok || id < 1 || id > len(l.orders) {
		writeError(w, http.StatusNotFound, "order not found")
		return
	}
	writeJSON(w, http.StatusOK, l.orders[id-1])
}
