package server

import (
	"fmt"
	"strconv"
	"strings"
	"sync"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
)

// DecisionLine is one decision that the entry VM made on a request.
type DecisionLine struct {
	// AtMillis is the entry VM's wall clock, in ms since the Unix epoch.
	AtMillis clock.Millis `json:"at_ms"`
	Area     string       `json:"area"`
	// Text holds the decision as key=value pairs, as in the log.
	Text    string          `json:"text"`
	Request units.RequestID `json:"-"`
}

// decisionLines is a circular buffer of the newest decisions on requests. The zero
// value is empty. It is safe for concurrent use.
type decisionLines struct {
	mu    sync.Mutex
	lines []DecisionLine
	// next is the index of the oldest line, which the next one replaces, once lines has
	// maxDecisionLines elements; 0 before.
	next int
}

// Limits of decisionLines: the number of lines, and the bytes of one line's text.
const (
	maxDecisionLines = 8192
	maxDecisionText  = 512
)

func (l *decisionLines) add(at clock.Millis, d event.Decision) {
	if d.Request == "" {
		return
	}
	line := DecisionLine{AtMillis: at, Area: d.Area, Text: decisionText(d), Request: d.Request}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.lines) < maxDecisionLines {
		l.lines = append(l.lines, line)
		return
	}
	l.lines[l.next] = line
	l.next = (l.next + 1) % maxDecisionLines
}

// find returns the lines of a request, oldest first, and the time of the oldest stored
// line of any request, or 0 if there is none: lines before that time may have been overwritten.
func (l *decisionLines) find(request units.RequestID) (lines []DecisionLine, oldest clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.lines {
		line := &l.lines[(l.next+i)%len(l.lines)]
		if i == 0 {
			oldest = line.AtMillis
		}
		if line.Request == request {
			lines = append(lines, *line)
		}
	}
	return lines, oldest
}

func decisionText(d event.Decision) string {
	var text strings.Builder
	writePair(&text, "choice", d.Choice)
	writePair(&text, "reason", d.Reason)
	for i := 0; i+1 < len(d.Pairs); i += 2 {
		writePair(&text, fmt.Sprint(d.Pairs[i]), fmt.Sprint(d.Pairs[i+1]))
	}
	return text.String()[:min(text.Len(), maxDecisionText)]
}

func writePair(text *strings.Builder, key, value string) {
	if text.Len() > 0 {
		text.WriteByte(' ')
	}
	if value == "" || strings.ContainsAny(value, " \"=\n") {
		value = strconv.Quote(value)
	}
	text.WriteString(key + "=" + value)
}

// Explain returns the recent decisions that this entry VM made on a request, oldest
// first, and the time of the oldest stored decision on any request, or 0.
func (s *Server) Explain(request units.RequestID) ([]DecisionLine, clock.Millis) {
	return s.decisions.find(request)
}
