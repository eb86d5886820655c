package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes one line for each event of a case.
type recorder struct {
	mu        sync.Mutex
	file      *os.File
	out       *bufio.Writer
	startedAt time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, out: bufio.NewWriter(file), startedAt: time.Now()}, nil
}

// write writes the time in seconds, the name of an event and its key=value pairs.
func (r *recorder) write(event string, pairs ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A failed write shows when the file is closed.
	_, _ = fmt.Fprintf(r.out, "%8.3f %s", time.Since(r.startedAt).Seconds(), event)
	for i := 0; i+1 < len(pairs); i += 2 {
		_, _ = fmt.Fprintf(r.out, " %v=%v", pairs[i], pairs[i+1])
	}
	_ = r.out.WriteByte('\n')
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if err := r.file.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}
