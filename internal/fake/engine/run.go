package engine

import (
	"context"
	"sync"

	"mangostile/internal/base/units"
)

// Work is one request to generate tokens.
type Work struct {
	ID      units.RequestID
	Adapter units.AdapterVersion
	Prompt  string
	// MaxTokens is the number of tokens of the answer; values below 2 count as 2.
	MaxTokens int
	// Priority orders the requests that wait for a place in the batch. The highest
	// enters first.
	Priority units.Priority
}

// run is one accepted request with its tokens so far. Several connections may read
// it.
type run struct {
	work Work
	// ctx is canceled to stop the run.
	ctx    context.Context
	cancel context.CancelCauseFunc

	mu     sync.Mutex
	tokens []string
	// ended means that no more tokens follow; err is then the reason, or nil for a
	// complete answer.
	ended bool
	err   error
	// changed is closed and replaced with each change.
	changed   chan struct{}
	followers int
}

func newRun(work Work) *run {
	ctx, cancel := context.WithCancelCause(context.Background())
	return &run{work: work, ctx: ctx, cancel: cancel, changed: make(chan struct{})}
}

func (r *run) emit(token string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = append(r.tokens, token)
	r.notify()
}

// end stops the run. Later calls do nothing.
func (r *run) end(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return
	}
	r.ended, r.err = true, err
	r.cancel(err)
	r.notify()
}

// notify wakes the followers. The caller holds mu.
func (r *run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// token waits for token number i. It reports false if the run ended before it.
func (r *run) token(i int) (token string, ok bool, err error) {
	for {
		r.mu.Lock()
		changed, ended := r.changed, r.ended
		if i < len(r.tokens) {
			token, ok = r.tokens[i], true
		}
		err = r.err
		r.mu.Unlock()
		if ok {
			return token, true, nil
		}
		if ended {
			return "", false, err
		}
		<-changed
	}
}

// wait waits for the end of the run and returns the complete answer.
func (r *run) wait() (tokens []string, err error) {
	for i := 0; ; i++ {
		_, ok, err := r.token(i)
		if err != nil {
			return nil, err
		}
		if !ok {
			return r.tokens, nil
		}
	}
}

// follow adds by, which is 1, 0 or -1, to the number of connections that read the run and
// returns the new number.
func (r *run) follow(by int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.followers += by
	return r.followers
}
