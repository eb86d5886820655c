package fleet

import (
	"net/http"

	"mangostile/internal/base/clock"
	"mangostile/internal/core/choose"
)

// noteHead records what the head of an answer says of the backend server itself. It is called for
// every answer on the attempt's connection, also for one that is skipped.
func (a *attempt) noteHead(status int, head AnswerHead) {
	if head.Server != "" && head.Server != a.to.Server {
		// Another process answers at the address.
		return
	}
	if head.Leaving {
		a.noteLeaving()
	}
	if status == http.StatusServiceUnavailable && head.RetryAfter != 0 {
		a.noteBackoff(head.RetryAfter)
	}
	a.noteLimit(head)
}

func (a *attempt) noteBackoff(time clock.Millis) {
	if time < 0 {
		a.log("retry_after_ignored", "server", a.to.Server)
		return
	}
	var left clock.Millis
	news := false
	a.node.withCore(func(core *choose.Core) {
		left, news = core.NoteBackoff(a.node.clock.Now(), a.to.Server, a.to.StartedAt, time)
	})
	if news {
		a.log("server_backoff", "server", a.to.Server, "for_ms", int64(left))
	}
}

func (a *attempt) noteLeaving() {
	news := false
	a.node.withCore(func(core *choose.Core) { news = core.NoteLeaving(a.to.Server, a.to.StartedAt) })
	if news {
		a.log("server_leaving", "server", a.to.Server, "source", "answer")
		a.node.requestReport()
	}
}

// withdrawn returns why the backend server takes no request although it was chosen, or an empty
// string: it may have said so since then, in the answer to another request.
func (a *attempt) withdrawn() (reason string) {
	a.node.withCore(func(core *choose.Core) { reason = core.Withdrawn(a.node.clock.Now(), a.to.Server) })
	return reason
}
