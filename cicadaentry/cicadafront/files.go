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
	outputPrefix    = "file-out-"
	errorPrefix     = "file-err-"
	maxPurposeBytes = 32
	defaultFilename = "upload.jsonl"
	defaultPurpose  = "batch"
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

func newFileBody(meta *cicadawire.FileMeta) fileBody {
	return fileBody{
		ID: meta.GetId(), Object: "file", Bytes: meta.GetBytes(), CreatedAt: meta.GetCreatedMs() / 1000,
		Filename: meta.GetName(), Purpose: meta.GetPurpose(), Status: "processed",
	}
}

// uploadFile reads a multipart form with the fields purpose and file, and streams
// the file to the store. A purpose after the file is ignored.
func (s *Server) uploadFile(w http.ResponseWriter, r *http.Request, _ httprouter.Params, customer *cicadaconfig.ResolvedCustomer) error {
	mediaType, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || mediaType != "multipart/form-data" {
		return cicadaerror.New(cicadaerror.BadRequest, "the body must be a multipart form with the fields purpose and file").NotRun()
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(uploadTimeout))
	r.Body = http.MaxBytesReader(w, r.Body, s.MaxUpload)
	form, err := r.MultipartReader()
	if err != nil {
		return cicadaerror.New(cicadaerror.BadRequest, "the multipart form could not be read").NotRun()
	}
	purpose := defaultPurpose
	for {
		part, err := form.NextPart()
		if errors.Is(err, io.EOF) {
			return cicadaerror.New(cicadaerror.BadRequest, "the form has no field file").Param("file").NotRun()
		}
		if err != nil {
			return uploadError(err)
		}
		switch part.FormName() {
		case "purpose":
			value, err := io.ReadAll(io.LimitReader(part, maxPurposeBytes))
			if err != nil {
				return uploadError(err)
			}
			purpose = string(value)
		case "file":
			name := part.FileName()
			if name == "" {
				name = defaultFilename
			}
			meta, err := s.Files.Upload(r.Context(), customer.Name(), name, purpose, part)
			if err != nil {
				return uploadError(err)
			}
			return writeJSON(w, newFileBody(meta))
		}
	}
}

func uploadError(err error) error {
	var tooLarge *http.MaxBytesError
	var apiErr *cicadaerror.Error
	switch {
	case errors.As(err, &tooLarge):
		return cicadaerror.New(cicadaerror.TooLarge, "file is larger than %d bytes", tooLarge.Limit).NotRun()
	case errors.As(err, &apiErr):
		return apiErr.NotRun()
	}
	return cicadaerror.New(cicadaerror.BadRequest, "the upload could not be read: %w", err).NotRun()
}

func (s *Server) listFiles(w http.ResponseWriter, r *http.Request, _ httprouter.Params, customer *cicadaconfig.ResolvedCustomer) error {
	metas, err := s.Files.List(r.Context(), customer.Name())
	if err != nil {
		return err
	}
	list := listBody[fileBody]{Object: "list", Data: []fileBody{}}
	for _, meta := range metas {
		list.Data = append(list.Data, newFileBody(meta))
	}
	return writeJSON(w, list)
}

func (s *Server) getFile(w http.ResponseWriter, r *http.Request, ps httprouter.Params, customer *cicadaconfig.ResolvedCustomer) error {
	id := ps.ByName("id")
	if job, _, ok := parseResultFileID(id); ok {
		view, err := s.job(r, customer, job)
		if err != nil {
			return err
		}
		return writeJSON(w, fileBody{
			ID: id, Object: "file", CreatedAt: view.GetEndedMs() / 1000, Filename: id + ".jsonl",
			Purpose: "batch_output", Status: "processed",
		})
	}
	meta, err := s.Files.Get(r.Context(), customer.Name(), id)
	if err != nil {
		return err
	}
	return writeJSON(w, newFileBody(meta))
}

// parseResultFileID parses the ID of a job's output or error file. It returns the
// job's ID and whether the file holds the failed results.
func parseResultFileID(id string) (job string, failed, ok bool) {
	if job, ok := strings.CutPrefix(id, outputPrefix); ok {
		return job, false, true
	}
	if job, ok := strings.CutPrefix(id, errorPrefix); ok {
		return job, true, true
	}
	return "", false, false
}

func (s *Server) deleteFile(w http.ResponseWriter, r *http.Request, ps httprouter.Params, customer *cicadaconfig.ResolvedCustomer) error {
	id := ps.ByName("id")
	jobs, err := s.Shards.Job(r.Context(), &cicadawire.JobRequest{Verb: "list", Customer: customer.Name()})
	if err != nil {
		return err
	}
	for _, view := range jobs.GetJobs() {
		if view.GetJob().GetFile() == id && view.GetEndedMs() == 0 {
			return cicadaerror.New(cicadaerror.Conflict, "batch %s still uses this file", view.GetJob().GetId())
		}
	}
	if err := s.Files.Delete(r.Context(), customer.Name(), id); err != nil {
		return err
	}
	return writeJSON(w, struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Deleted bool   `json:"deleted"`
	}{id, "file", true})
}

func (s *Server) fileContent(w http.ResponseWriter, r *http.Request, ps httprouter.Params, customer *cicadaconfig.ResolvedCustomer) error {
	id := ps.ByName("id")
	if job, failed, ok := parseResultFileID(id); ok {
		return s.writeResults(w, r, customer, job, failed)
	}
	meta, err := s.Files.Get(r.Context(), customer.Name(), id)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/jsonl")
	body := &countingWriter{w: w}
	if err := s.Files.Lines(meta).Copy(r.Context(), body); err != nil {
		return abortIfStarted(body, w, err)
	}
	return nil
}

// A countingWriter counts the bytes of a response body.
type countingWriter struct {
	w       io.Writer
	written int64
}

// Write implements io.Writer.
func (c *countingWriter) Write(data []byte) (int, error) {
	n, err := c.w.Write(data)
	c.written += int64(n)
	return n, err
}

// abortIfStarted returns err if nothing of the response body has been written. It
// closes the connection otherwise.
func abortIfStarted(body *countingWriter, w http.ResponseWriter, err error) error {
	if body.written == 0 {
		return err
	}
	abort(http.NewResponseController(w))
	return &partialResponseError{err}
}
