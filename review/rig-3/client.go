package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

const host = "desk.example"

// A client sends each call on a new channel, as clients of batch jobs do.
type client struct {
	entries []*process
	http    *http.Client
	log     *record
}

func newClient(entries []*process, log *record) *client {
	return &client{entries: entries, log: log, http: &http.Client{
		Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: 8 * time.Second,
	}}
}

func (c *client) call(p *process, method, path string, header map[string]string, body []byte) (int, []byte, error) {
	req, err := http.NewRequest(method, "http://"+p.callers()+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Host = host
	for k, v := range header {
		req.Header.Set(k, v)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res.StatusCode, b, err
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// A job is a batch job as its client knows it.
type job struct {
	id      string
	items   []string
	body    []byte
	tokens  map[string]int // greatest length of the output, by item
	results map[int]result
	total   int
	done    bool
}

type result struct {
	ID     string `json:"Id"`
	State  string
	Output string
}

func newJob(items, bodyBytes int) *job {
	j := &job{id: newID(), results: make(map[int]result), tokens: make(map[string]int)}
	type item struct {
		ID      string `json:"Id"`
		Path    string
		Headers map[string]string
		Body    string
		Tokens  int
	}
	var all []item
	for i := range items {
		id := newID()
		j.tokens[id] = 180
		if i%4 == 0 {
			j.tokens[id] = 540
		}
		j.items = append(j.items, id)
		b := bytes.Repeat([]byte{'x'}, bodyBytes)
		copy(b, id)
		all = append(all, item{ID: id, Path: "/cards/" + id, Headers: map[string]string{"X-Model": "m", "X-Token-Count": fmt.Sprintf("350,%d", j.tokens[id]), "X-Prompt-Prefix": id[:8] + ":100," + id[8:] + ":250"}, Body: base64.StdEncoding.EncodeToString(b), Tokens: 350 + j.tokens[id]})
	}
	j.body, _ = json.Marshal(map[string]any{"Items": all})
	return j
}

// submit hands a job in until it is accepted.
func (c *client) submit(j *job, tries int) bool {
	for range tries {
		p := c.entries[rand.IntN(len(c.entries))]
		status, _, err := c.call(p, http.MethodPost, "/cards/"+j.id[:6], map[string]string{"X-Request-Id": j.id, "Content-Type": "application/json"}, j.body)
		c.log.add("submit job=%s at=%s status=%d error=%v", j.id, p.name, status, err)
		if status == http.StatusAccepted {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

type page struct {
	Total   int
	Next    int
	Results []result
}

// read reads results from a position on.
func (c *client) read(j *job, p *process, after int) (page, int, error) {
	status, body, err := c.call(p, http.MethodGet, fmt.Sprintf("/cicadalink/lots/%s?After=%d", j.id, after), map[string]string{"X-Wait-Ms": "1000"}, nil)
	var out page
	if err != nil || status != http.StatusOK {
		return out, status, err
	}
	return out, status, json.Unmarshal(body, &out)
}

// follow reads the results of a job until all are listed or the time is up. check judges each result.
func (c *client) follow(j *job, until time.Time, check func(j *job, position int, r result)) {
	next := 0
	for time.Now().Before(until) {
		p := c.entries[rand.IntN(len(c.entries))]
		pg, status, err := c.read(j, p, next)
		if err != nil || status != http.StatusOK {
			c.log.add("read job=%s after=%d at=%s status=%d error=%v", j.id, next, p.name, status, err)
			time.Sleep(200 * time.Millisecond)
			continue
		}
		for i, r := range pg.Results {
			j.results[next+i] = r
			c.log.add("result job=%s position=%d item=%s state=%s bytes=%d", j.id, next+i, r.ID, r.State, len(r.Output))
			check(j, next+i, r)
		}
		next += len(pg.Results)
		j.total = pg.Total
		if next >= pg.Total {
			j.done = true
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}
