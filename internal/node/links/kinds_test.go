package links

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestMessagesHaveKinds checks that the bytes of every type of message are counted under a name of
// its own.
func TestMessagesHaveKinds(t *testing.T) {
	seen := map[string]bool{}
	for tag := tagHeartbeat; int(tag) < len(kinds); tag++ {
		m := newMessage(tag)
		must.NotNil(t, m)
		must.Eq(t, tag, tagOf(m))
		kind := kindOf(m)
		must.NotEq(t, "", kind)
		must.False(t, seen[kind], must.Sprint(kind))
		seen[kind] = true
	}
	must.Nil(t, newMessage(byte(len(kinds))))
}
