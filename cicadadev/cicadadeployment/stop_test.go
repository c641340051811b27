package cicadadeployment

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"cicadalink.example/cicadadev/cicadastandin"
)

const streamTokens = 120

// readStream sends a streaming request. It returns the concatenated text of the
// tokens, and whether the stream ended with the [DONE] event.
func readStream(ctx context.Context, url, prompt string) (text string, complete bool, err error) {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, Model, prompt, streamTokens)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return "", false, err
	}
	req.Header.Set("Authorization", "Bearer "+CallerKey)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", false, err
	}
	defer res.Body.Close()
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if strings.Contains(lines.Text(), `"error"`) {
			return text, false, fmt.Errorf("stream ended with an error event: %s", lines.Text())
		}
		if lines.Text() == "data: [DONE]" {
			complete = true
		}
		if _, rest, ok := strings.Cut(lines.Text(), `"text":"`); ok {
			token, _, _ := strings.Cut(rest, `"`)
			text += token
		}
	}
	return text, complete, lines.Err()
}

// expectedText returns the text that every engine of a software version generates for a
// prompt.
func expectedText(version, prompt string) string {
	var text strings.Builder
	for i := range streamTokens {
		text.WriteString(cicadastandin.Token(version, fmt.Sprintf("%q", prompt), i))
	}
	return text.String()
}

// hasExpectedText reports whether a text is the one that one of the engines' software
// versions generates for a prompt.
func (d *Deployment) hasExpectedText(text, prompt string) bool {
	for _, engine := range d.engines {
		if text == expectedText(engine.SoftwareVersion(), prompt) {
			return true
		}
	}
	return false
}

// startStreams starts streams at two entries and three engines, which must be complete and
// right in the end, and returns when all of them are running.
func (d *Deployment) startStreams(t *testing.T, n int) *conc.WaitGroup {
	t.Helper()
	var tasks conc.WaitGroup
	for i := range n {
		tasks.Go(func() {
			prompt := fmt.Sprint("quote ", i)
			text, complete, err := readStream(t.Context(), d.EntryURL(i%2), prompt)
			assert.Check(t, err)
			assert.Check(t, complete, "stream %d ended early", i)
			assert.Check(t, d.hasExpectedText(text, prompt), "stream %d has the wrong text", i)
		})
	}
	waitUntil(t, func() bool { return d.Engine(0).Running()+d.Engine(1).Running()+d.Engine(2).Running() == int64(n) })
	return &tasks
}

// Streams that are in progress when an endpoint stops or an engine crashes must not
// lose or repeat a token. They finish at the same endpoint, or resume at another one
// after the last token sent.
func TestStreamsSurviveEndpoints(t *testing.T) {
	d, err := Start(t.Context(), WithEntries(2), WithEngines(3), WithTokenTime(3*time.Millisecond))
	assert.NilError(t, err)
	defer d.Close()
	tasks := d.startStreams(t, 12)
	d.Engine(1).Crash()
	assert.NilError(t, d.StopAgent(0))
	d.agents[0].done <- nil
	tasks.Wait()
}

// reportedVersions returns how many software versions an entry knows of the engines.
func (d *Deployment) reportedVersions(entry int) int {
	group, ok := d.entries[entry].process.Fleet().Table().Group("assistants")
	if !ok {
		return 0
	}
	versions := make(map[string]bool)
	for _, e := range group.Endpoints() {
		if v := e.SoftwareVersion(); v != "" {
			versions[v] = true
		}
	}
	return len(versions)
}

// Guards against streams that go on, after their engine has crashed, at an engine of another
// software version.
func TestStreamsStayAtTheirSoftwareVersion(t *testing.T) {
	d, err := Start(t.Context(), WithEntries(2), WithEngines(3), WithSoftwareVersions("v1", "v2", "v1"), WithTokenTime(3*time.Millisecond))
	assert.NilError(t, err)
	defer d.Close()
	for i := range 2 {
		waitUntil(t, func() bool { return d.reportedVersions(i) == 2 })
	}
	tasks := d.startStreams(t, 12)
	waitUntil(t, func() bool { return d.Engine(1).Tokens() > 2*d.Engine(1).Running() })
	d.Engine(1).Crash()
	tasks.Wait()
	assert.Assert(t, d.Engine(1).Resumed() > 0)
	assert.Equal(t, d.Engine(0).Resumed()+d.Engine(2).Resumed(), int64(0))
}

// When a caller disconnects, its request must be cancelled at the engine.
func TestCancellationReachesEngine(t *testing.T) {
	d, err := Start(t.Context(), WithEntries(1), WithEngines(1), WithTokenTime(20*time.Millisecond))
	assert.NilError(t, err)
	defer d.Close()
	ctx, cancel := context.WithCancel(t.Context())
	var tasks conc.WaitGroup
	tasks.Go(func() { _, _, _ = readStream(ctx, d.EntryURL(0), "quote") })
	waitUntil(t, func() bool { return d.Engine(0).Running() == 1 })
	cancel()
	tasks.Wait()
	waitUntil(t, func() bool { return d.Engine(0).Cancelled() == 1 })
}

// An entry that shuts down must finish the requests in progress.
func TestEntryStopCompletesRequests(t *testing.T) {
	d, err := Start(t.Context(), WithEntries(2), WithEngines(1), WithTokenTime(3*time.Millisecond))
	assert.NilError(t, err)
	defer d.Close()
	var tasks conc.WaitGroup
	for i := range 4 {
		tasks.Go(func() {
			_, complete, err := readStream(t.Context(), d.EntryURL(0), fmt.Sprint("quote ", i))
			assert.Check(t, err)
			assert.Check(t, complete, "stream %d ended early", i)
		})
	}
	waitUntil(t, func() bool { return d.Engine(0).Running() == 4 })
	assert.NilError(t, d.StopEntry(0))
	d.entries[0].done <- nil
	tasks.Wait()
}

// waitUntil polls condition until it holds or the test is cancelled.
func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for !condition() {
		timer := time.NewTimer(pollInterval)
		select {
		case <-timer.C:
		case <-t.Context().Done():
			t.Fatal("condition not met before the test was cancelled")
		}
	}
}

// BenchmarkStream measures the time per token of a stream through an entry and an
// agent.
func BenchmarkStream(b *testing.B) {
	d, err := Start(b.Context(), WithEntries(1), WithEngines(1), WithTokenTime(time.Microsecond))
	assert.NilError(b, err)
	defer d.Close()
	b.ResetTimer()
	for b.Loop() {
		_, complete, err := readStream(b.Context(), d.EntryURL(0), "quote")
		assert.NilError(b, err)
		assert.Assert(b, complete)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*streamTokens), "ns/token")
}

// BenchmarkFirstToken compares the time to the first token through an entry and
// an agent with that of a direct request to the engine.
func BenchmarkFirstToken(b *testing.B) {
	d, err := Start(b.Context(), WithEntries(1), WithEngines(1), WithTokenTime(time.Microsecond))
	assert.NilError(b, err)
	defer d.Close()
	for name, url := range map[string]string{"entry": d.EntryURL(0), "engine": d.EngineURL(0)} {
		b.Run(name, func(b *testing.B) {
			body := fmt.Sprintf(`{"model":%q,"prompt":"quote","max_tokens":1,"stream":true}`, Model)
			for b.Loop() {
				req, err := http.NewRequestWithContext(b.Context(), http.MethodPost, url+"/v1/completions", strings.NewReader(body))
				assert.NilError(b, err)
				req.Header.Set("Authorization", "Bearer "+CallerKey)
				res, err := http.DefaultClient.Do(req)
				assert.NilError(b, err)
				_, err = bufio.NewReader(res.Body).ReadString('\n')
				assert.NilError(b, err)
				_, _ = io.Copy(io.Discard, res.Body)
				_ = res.Body.Close()
			}
		})
	}
}
