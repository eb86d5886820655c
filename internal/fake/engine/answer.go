package engine

import (
	"strings"
)

// EndToken is the last token of each complete answer.
const EndToken = "<end>"

// Answer returns the tokens of the answer to work: the adapter and version that
// ran it, the words of its prompt repeated up to MaxTokens, and EndToken. This lets
// a caller check that it received the complete answer to its own request.
func Answer(work Work) []string {
	n := max(work.MaxTokens, 2)
	words := strings.Fields(work.Prompt)
	if len(words) == 0 {
		words = []string{"nothing"}
	}
	tokens := make([]string, 0, n)
	tokens = append(tokens, "["+work.Adapter.String()+"]")
	for i := 0; len(tokens) < n-1; i++ {
		tokens = append(tokens, " "+words[i%len(words)])
	}
	return append(tokens, " "+EndToken)
}
