package keylog

import (
	"encoding/base64"
	"encoding/binary"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// TestAppendsToKeyedTopicsAreNewest guards against a stand-in that doesn't retain the newest
// record of a key which was appended over HTTP, as the platform's store does.
func TestAppendsToKeyedTopicsAreNewest(t *testing.T) {
	for _, tc := range []struct {
		name, topic string
		records     []string
		newest      map[string]string
	}{
		{"one key", "keyed.a", []string{"\x01kone", "\x01ktwo"}, map[string]string{"k": "two"}},
		{"two keys", "keyed.a", []string{"\x01kone", "\x01ltwo"}, map[string]string{"k": "one", "l": "two"}},
		{"dropped", "keyed.a", []string{"\x01kone", "\x01k"}, map[string]string{}},
		{"shorter than its key", "keyed.a", []string{"\x05k"}, map[string]string{}},
		{"not keyed", "other.a", []string{"\x01kone"}, map[string]string{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var s Store
			var body strings.Builder
			for _, record := range tc.records {
				body.Write(binary.BigEndian.AppendUint32(nil, uint32(len(record))))
				body.WriteString(record)
			}
			w := httptest.NewRecorder()
			s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/log-append?part=0&topic="+tc.topic, strings.NewReader(body.String())))
			must.Eq(t, http.StatusOK, w.Code)
			p := s.partition(tc.topic, "0")
			must.Len(t, len(tc.records), p.records)
			must.MapLen(t, len(tc.newest), p.newest)
			for key, value := range tc.newest {
				must.Eq(t, base64.StdEncoding.EncodeToString([]byte(value)), p.newest[key].Value)
			}
		})
	}
}
