package fleet

import (
	"mangostile/internal/core/choose"
)

// noteHead records what the head of an answer says of the backend server itself. It is called for
// every answer on the attempt's connection, also for one that is skipped.
func (a *attempt) noteHead(head AnswerHead) {
	if head.Server != "" && head.Server != a.to.Server {
		// Another process answers at the address.
		return
	}
	if head.Leaving {
		a.noteLeaving()
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
	a.node.withCore(func(core *choose.Core) { reason = core.Withdrawn(a.node.clock.Now(), &a.req, a.to.Server) })
	return reason
}
