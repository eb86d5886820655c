package engine

import (
	"strings"
)

// EndToken is the last token of each whole answer.
const EndToken = "<end>"

// Answer returns the tokens of the answer to work: the adapter and version that
// ran it, the words of its prompt in turn, and EndToken. So a caller can check
// that it got the whole answer to its own request.
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
