package server

import (
	"context"
	"sync"

	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
)

// editWaiters delivers the outcomes of edits to the operators that wait for them. The
// zero value is empty.
type editWaiters struct {
	mu      sync.Mutex
	waiting map[units.RecordID]chan event.EditOutcome
}

func (w *editWaiters) add(id units.RecordID) chan event.EditOutcome {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiting == nil {
		w.waiting = map[units.RecordID]chan event.EditOutcome{}
	}
	outcome := make(chan event.EditOutcome, 1)
	w.waiting[id] = outcome
	return outcome
}

func (w *editWaiters) answer(effect event.AnswerEdit) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if outcome := w.waiting[effect.Edit]; outcome != nil {
		outcome <- effect.Outcome
		delete(w.waiting, effect.Edit)
	}
}

func (w *editWaiters) drop(id units.RecordID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.waiting, id)
}

// Edit submits an edit of the operators' table and waits for its outcome. If ctx is
// done first, the outcome is event.EditUnknown.
func (s *Server) Edit(ctx context.Context, edit event.Edit) event.EditOutcome {
	outcome := s.edits.add(edit.ID)
	defer s.edits.drop(edit.ID)
	if !s.Submit(event.EditProposed{Edit: edit}) {
		return event.EditOutcome{Kind: event.EditNotAppended, Message: "this entry VM has no room for another edit: try again later"}
	}
	select {
	case result := <-outcome:
		return result
	case <-ctx.Done():
		return event.EditOutcome{Kind: event.EditUnknown, Message: "no outcome yet: look at the table's history for edit " + string(edit.ID)}
	}
}
