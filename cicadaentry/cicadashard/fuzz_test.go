package cicadashard

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"cicadalink.example/cicadakernel/cicadajob"
	"cicadalink.example/cicadakernel/cicadawire"
)

func FuzzParseItem(f *testing.F) {
	f.Add([]byte(`{"custom_id":"a","method":"POST","url":"/v1/completions","body":{"model":"m","prompt":"p"}}`))
	f.Add([]byte(`{"custom_id":7}`))
	f.Add([]byte(`{"url":"/v1/completionsx"}`))
	f.Add([]byte(`not json`))
	f.Fuzz(func(t *testing.T, line []byte) {
		in, err := parseItem(line, "/v1/completions")
		if in == nil {
			t.Fatal("parseItem returned a nil item")
		}
		if err == nil && in.URL != "/v1/completions" && len(in.URL) <= len("/v1/completions/") {
			t.Fatalf("url %q was accepted", in.URL)
		}
	})
}

// FuzzApplySegment checks that no content of a log makes the remaining items of a
// job negative.
func FuzzApplySegment(f *testing.F) {
	seed := &cicadawire.Segment{Records: []*cicadawire.Record{
		{Kind: &cicadawire.Record_JobAccepted{JobAccepted: &cicadawire.JobAccepted{Id: "j", Items: 2}}},
		{Kind: &cicadawire.Record_ItemDone{ItemDone: &cicadawire.ItemDone{Job: "j", Index: 1}}},
		{Kind: &cicadawire.Record_ItemDone{ItemDone: &cicadawire.ItemDone{Job: "j", Index: 1, Failed: true}}},
		{Kind: &cicadawire.Record_ItemDone{ItemDone: &cicadawire.ItemDone{Job: "j", Index: -3}}},
	}}
	data, err := proto.Marshal(seed)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		state := cicadajob.NewState()
		if state.ApplySegment(1, data) != nil {
			return
		}
		for _, j := range state.Jobs("") {
			if j.Accepted().GetItems() >= 0 && j.Remaining() < 0 {
				t.Fatalf("job %s has %d items left", j.ID(), j.Remaining())
			}
		}
	})
}
