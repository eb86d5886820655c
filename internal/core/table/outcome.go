package table

import (
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
)

// outcomeLog holds the outcomes of the newest edits. The zero value is empty.
type outcomeLog struct {
	byID map[units.RecordID]event.EditOutcome
	// order lists the ids in byID, oldest first.
	order []units.RecordID
}

// maxOutcomes is the maximum number of outcomes in an outcomeLog.
const maxOutcomes = 512

func (l *outcomeLog) add(id units.RecordID, outcome event.EditOutcome) {
	if l.byID == nil {
		l.byID = map[units.RecordID]event.EditOutcome{}
	}
	if _, known := l.byID[id]; known {
		return
	}
	if len(l.order) >= maxOutcomes {
		delete(l.byID, l.order[0])
		l.order = append(l.order[:0], l.order[1:]...)
	}
	l.byID[id] = outcome
	l.order = append(l.order, id)
}

func (l *outcomeLog) find(id units.RecordID) (event.EditOutcome, bool) {
	outcome, ok := l.byID[id]
	return outcome, ok
}
