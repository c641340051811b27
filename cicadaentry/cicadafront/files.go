package cicadafront

import (
	"errors"
	"io"
	"mime"
	"net/http"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"cicadalink.example/cicadakernel/cicadaconfig"
	"cicadalink.example/cicadakernel/cicadaerror"
	"cicadalink.example/cicadakernel/cicadawire"
)

const (
	outputPrefix  = "file-out-"
	errorPrefix   = "file-err-"
	maxPurpose    = 32
	defaultName   = "upload.jsonl"
	purposeOfFile = "batch"
)

type fileBody struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     int64  `json:"bytes"`
	CreatedAt int64  `json:"created_at"`
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"`
	Status    string `json:"status"`
}

func fileOf(meta *cicadawire.FileMeta) fileBody {
	return fileBody{
		ID: meta.GetId(), Object: "file", Bytes: meta.GetBytes(), CreatedAt: meta.GetCreatedMs() / 1000,
		Filename: meta.GetName(), Purpose: meta.GetPurpose(), Status: "processed",
	}
}

// uploadFile takes a multipart form with the fields purpose and file, and
// streams the file to the store.
func (f *Front) uploadFile(w http.ResponseWriter, r *http.Request, _ httprouter.Params, account *cicadaconfig.Account) error {
	kind, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || kind != "multipart/form-data" {
		return cicadaerror.New(cicadaerror.BadRequest, "expected a multipart form with purpose and file").NotRun()
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(uploadTime))
	r.Body = http.MaxBytesReader(w, r.Body, f.MaxUpload)
	form, err := r.MultipartReader()
	if err != nil {
		return cicadaerror.New(cicadaerror.BadRequest, "multipart form could not be read").NotRun()
	}
	purpose := purposeOfFile
	for {
		part, err := form.NextPart()
		if errors.Is(err, io.EOF) {
			return cicadaerror.New(cicadaerror.BadRequest, "field file is missing").Param("file").NotRun()
		}
		if err != nil {
			return uploadError(err)
		}
		switch part.FormName() {
		case "purpose":
			value, err := io.ReadAll(io.LimitReader(part, maxPurpose))
			if err != nil {
				return uploadError(err)
			}
			purpose = string(value)
		case "file":
			name := part.FileName()
			if name == "" {
				name = defaultName
			}
			meta, err := f.Files.Upload(r.Context(), account.Name(), name, purpose, part)
			if err != nil {
				return uploadError(err)
			}
			return writeJSON(w, fileOf(meta))
		}
	}
}

func uploadError(err error) error {
	var tooLarge *http.MaxBytesError
	var known *cicadaerror.Error
	switch {
	case errors.As(err, &tooLarge):
		return cicadaerror.New(cicadaerror.TooLarge, "file is larger than %d bytes", tooLarge.Limit).NotRun()
	case errors.As(err, &known):
		return known.NotRun()
	}
	return cicadaerror.New(cicadaerror.BadRequest, "upload could not be read: %w", err).NotRun()
}

func (f *Front) listFiles(w http.ResponseWriter, r *http.Request, _ httprouter.Params, account *cicadaconfig.Account) error {
	metas, err := f.Files.List(r.Context(), account.Name())
	if err != nil {
		return err
	}
	list := listBody[fileBody]{Object: "list", Data: []fileBody{}}
	for _, meta := range metas {
		list.Data = append(list.Data, fileOf(meta))
	}
	return writeJSON(w, list)
}

func (f *Front) getFile(w http.ResponseWriter, r *http.Request, ps httprouter.Params, account *cicadaconfig.Account) error {
	id := ps.ByName("id")
	if job, _, ok := resultFile(id); ok {
		view, err := f.job(r, account, job)
		if err != nil {
			return err
		}
		return writeJSON(w, fileBody{
			ID: id, Object: "file", CreatedAt: view.GetEndedMs() / 1000, Filename: id + ".jsonl",
			Purpose: "batch_output", Status: "processed",
		})
	}
	meta, err := f.Files.Get(r.Context(), account.Name(), id)
	if err != nil {
		return err
	}
	return writeJSON(w, fileOf(meta))
}

// resultFile splits the id of a job's output or error file.
func resultFile(id string) (job string, failed, ok bool) {
	if job, ok := strings.CutPrefix(id, outputPrefix); ok {
		return job, false, true
	}
	if job, ok := strings.CutPrefix(id, errorPrefix); ok {
		return job, true, true
	}
	return "", false, false
}

func (f *Front) deleteFile(w http.ResponseWriter, r *http.Request, ps httprouter.Params, account *cicadaconfig.Account) error {
	id := ps.ByName("id")
	jobs, err := f.Shards.Job(r.Context(), &cicadawire.JobRequest{Verb: "list", Customer: account.Name()})
	if err != nil {
		return err
	}
	for _, view := range jobs.GetJobs() {
		if view.GetJob().GetFile() == id && view.GetEndedMs() == 0 {
			return cicadaerror.New(cicadaerror.Conflict, "batch %s still reads this file", view.GetJob().GetId())
		}
	}
	if err := f.Files.Delete(r.Context(), account.Name(), id); err != nil {
		return err
	}
	return writeJSON(w, struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Deleted bool   `json:"deleted"`
	}{id, "file", true})
}

func (f *Front) fileContent(w http.ResponseWriter, r *http.Request, ps httprouter.Params, account *cicadaconfig.Account) error {
	id := ps.ByName("id")
	if job, failed, ok := resultFile(id); ok {
		return f.writeResults(w, r, account, job, failed)
	}
	meta, err := f.Files.Get(r.Context(), account.Name(), id)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/jsonl")
	out := &countingWriter{w: w}
	if err := f.Files.Lines(meta).Copy(r.Context(), out); err != nil {
		return cutOr(out, w, err)
	}
	return nil
}

// A countingWriter knows whether an answer has begun.
type countingWriter struct {
	w io.Writer
	n int64
}

// Write passes data on.
func (c *countingWriter) Write(data []byte) (int, error) {
	n, err := c.w.Write(data)
	c.n += int64(n)
	return n, err
}

// cutOr returns err for an answer that has not begun, and else cuts the
// connection.
func cutOr(out *countingWriter, w http.ResponseWriter, err error) error {
	if out.n == 0 {
		return err
	}
	abort(http.NewResponseController(w))
	return &begunError{err}
}
