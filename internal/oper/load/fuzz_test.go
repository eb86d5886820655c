package load

import (
	"bytes"
	"testing"
	"time"

	"mangostile/internal/base/units"
)

// FuzzReadStream checks that readStream returns for any stream and accepts no stream without
// the adapter's name, which each complete answer contains.
func FuzzReadStream(f *testing.F) {
	whole := chunk("braid@v1", "[braid@v1]") + chunk("braid@v1", " seven <end>") + "data: [DONE]\n\n"
	f.Add([]byte(whole))
	f.Add([]byte(whole[:len(whole)/2]))
	f.Add([]byte("event: error\ndata: {\"error\":{\"code\":\"c\",\"message\":\"m\",\"ran\":\"no\"}}\n\n"))
	f.Add([]byte("data: [DONE]\n\n"))
	call := &Call{Kind: KindChat, Adapter: units.AdapterVersion{Adapter: "braid"}, Prompt: "seven", Tokens: 3}
	f.Fuzz(func(t *testing.T, stream []byte) {
		if readStream(call, bytes.NewReader(stream), func(time.Time) {}) == nil && !bytes.Contains(stream, []byte("braid")) {
			t.Fatal("a stream without the adapter's name was taken as whole")
		}
	})
}
