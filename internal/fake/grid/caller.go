package grid

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Request is a request as a caller of the platform sends it.
type Request struct {
	Method, Path, ID string
	Timeout          time.Duration
	// Model names model and adapter, empty for a plain service.
	Model string
	// Parts are the parts of the prompt, as hexadecimal ids.
	Parts []string
	// LastEvent is the id of the last event that the caller has of the stream which the attempt
	// Resumes began; 0 for a new request.
	LastEvent int
	Resumes   string
}

// Head returns the head of a request without a body. It contains a Hold header, which only
// the system may set: replicas count a violation if it is forwarded to them.
func (r Request) Head() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nHold: forged\r\n", r.Method, r.Path, r.ID, r.Timeout.Milliseconds())
	if r.Model != "" {
		fmt.Fprintf(&b, "Model: %s\r\nToken-Counts: 100,40\r\n", r.Model)
	}
	if len(r.Parts) > 0 {
		fmt.Fprintf(&b, "%s: %s\r\n", PromptHeader, Prompt(r.Parts...))
	}
	if r.LastEvent > 0 {
		fmt.Fprintf(&b, "Last-Event-Id: %d\r\nResumes: %s\r\n", r.LastEvent, r.Resumes)
	}
	b.WriteString("Content-Length: 0\r\n\r\n")
	return b.String()
}

// Stamp returns the replica's Server-Stamp header of an answer, empty if there is none.
func Stamp(h http.Header) string { return h.Get("Server-Stamp") }

// Leaving reports whether the replica that answered says that it leaves.
func Leaving(h http.Header) bool { return h.Get("Server-Leaving") != "" }

// ForgetHistory drops the history of the operator's and the replicas' records; the newest
// record of each key stays.
func (g *Grid) ForgetHistory() {
	g.Store.Forget("keyed.op")
	g.Store.Forget("keyed.servers")
}

// PutGarbage writes records that can't be decoded.
func (g *Grid) PutGarbage() {
	g.Store.Put("keyed.servers", "nobody", []byte("{"))
	g.Store.Put("keyed.op", "version/m.a1", []byte{0xff})
}
