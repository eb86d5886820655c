package meter

import (
	"strings"
	"testing"
	"time"

	"mangostile/internal/base/errs"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
)

func TestWrite(t *testing.T) {
	defer goleak.VerifyNone(t)
	m := New()
	m.Answered(200)
	m.Answered(200)
	m.Answered(429)
	m.Refused(errs.Refuse(errs.CodeLimited, "wait"))
	m.FirstToken(3 * time.Millisecond)
	m.FirstToken(15 * time.Millisecond)
	m.FirstToken(time.Hour)
	m.Appended("accepted", 7, time.Millisecond)
	m.Set("ring_depth", 4, "ring", "inputs")
	must.NoError(t, m.Close())
	var text strings.Builder
	m.Write(&text)
	for _, want := range []string{
		"# TYPE mangostile_requests_total counter\n" +
			"mangostile_requests_total{code=\"200\"} 2\n" +
			"mangostile_requests_total{code=\"429\"} 1\n",
		`mangostile_refusals_total{code="limit_exceeded",ran="no"} 1` + "\n",
		"# TYPE mangostile_first_token_seconds histogram\n",
		`mangostile_first_token_seconds_bucket{le="0.005"} 1` + "\n",
		`mangostile_first_token_seconds_bucket{le="0.02"} 2` + "\n",
		`mangostile_first_token_seconds_bucket{le="+Inf"} 3` + "\n",
		"mangostile_first_token_seconds_count 3\n",
		`mangostile_append_records_total{result="accepted"} 7` + "\n",
		`mangostile_ring_depth{ring="inputs"} 4` + "\n",
	} {
		must.StrContains(t, text.String(), want)
	}
}

func TestNilMeterCountsNothing(t *testing.T) {
	var m *Meter
	m.Answered(200)
	m.Refused(errs.Refuse(errs.CodeLimited, "wait"))
	m.Attempted("served")
	m.FirstToken(1)
	m.TokenGap(1)
	m.LoadStalled(1)
	m.Appended("accepted", 1, 1)
	m.Set("x", 1)
	must.NoError(t, m.Close())
	var text strings.Builder
	m.Write(&text)
	must.Eq(t, "", text.String())
}
