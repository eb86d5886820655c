package config

import (
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

// keysOf returns all TOML keys of a settings struct and of the structs in it.
func keysOf(t reflect.Type) []string {
	var keys []string
	for key, field := range fieldsByKey(t) {
		keys = append(keys, key)
		inner := field.Type
		if inner.Kind() == reflect.Slice {
			inner = inner.Elem()
		}
		if inner.Kind() == reflect.Struct {
			keys = append(keys, keysOf(inner)...)
		}
	}
	return keys
}

// TestExamplesNameEveryKeyAndHoldNoFault guards against a key that is added to the settings
// but not to the example, and against an example that the program rejects.
func TestExamplesNameEveryKeyAndHoldNoFault(t *testing.T) {
	_, err := Parse("example.toml", []byte(Example))
	must.NoError(t, err)
	_, err = ParseStandin("example_standin.toml", []byte(ExampleStandin))
	must.NoError(t, err)
	examples := map[string]reflect.Type{Example: reflect.TypeFor[Settings](), ExampleStandin: reflect.TypeFor[Standin]()}
	for text, settings := range examples {
		for _, key := range keysOf(settings) {
			named := regexp.MustCompile(`(?m)^(# )?(` + key + ` = |\[\[?` + key + `\]?\])`)
			must.True(t, named.MatchString(text), must.Sprintf("%s of %s", key, settings))
		}
	}
}

func TestParseNamesEveryFault(t *testing.T) {
	const valid = `
[entry_vm]
id = "entry-1"
failure_domain = "galle"
region = "south"
serve_address = "127.0.0.1:8080"
admin_address = "127.0.0.1:8081"
peer_address = "127.0.0.1:8082"
[platform]
log_address = "127.0.0.1:7001"
`
	tests := []struct {
		name string
		text string
		want []string
	}{
		{"sound", valid, nil},
		{"syntax", "a = \n", []string{"f.toml:1: this is not TOML"}},
		{"three faults", strings.NewReplacer(`"127.0.0.1:8081"`, `"localhost"`, `id = "entry-1"`, `idd = "entry-1"`, `region = "south"`, "region = 7").Replace(valid), []string{
			"f.toml:2: entry_vm.id: is missing",
			"f.toml:3: entry_vm.idd: is not known: remove it, or use one of admin_address",
			"f.toml:5: entry_vm.region: does not fit: give a text in quotes",
			`f.toml:7: entry_vm.admin_address: "localhost" is not an address`,
		}},
		{"missing table", "", []string{
			"f.toml:1: entry_vm.id: is missing", "f.toml:1: entry_vm.failure_domain", "f.toml:1: entry_vm.region", "f.toml:1: entry_vm.serve_address",
			"f.toml:1: entry_vm.admin_address", "f.toml:1: entry_vm.peer_address", "f.toml:1: platform.log_address",
		}},
		{"arrays", valid + `[[callers]]
name = "a"
token_sha256 = "secret"
[[callers]]
name = "a"
token_sha256 = "1a84ca71b85a6f8b58e9dc31bfa3c4eb0c2a3d9df9d3bc2ca0bb0e2cb7b3f7a1"
[[services]]
name = "ledger"
not_repeatable = ["release"]
[[vms]]
id = "engine-1"
address = "127.0.0.1:9001"
failure_domain = "galle"
region = "south"
kind = "engin"
slots = 99999999999
`, []string{
			"f.toml:13: callers[0].token_sha256: is not a SHA-256",
			`f.toml:15: callers[1].name: "a" is there twice`,
			`f.toml:19: services[0].not_repeatable: "release" is not a call`,
			`f.toml:25: vms[0].kind: "engin" is not known: use engine, service`,
			"f.toml:26: vms[0].slots: does not fit: give a whole number of 32 bits",
		}},
		{"policy", valid + `[policy]
objective = 1.5
loads_per_second = -1.0
loads_in_flight = -1
failure_domains = 5000
`, []string{
			"f.toml:12: policy.objective: 1.5 is out of range", "f.toml:13: policy.loads_per_second: -1 is out of range",
			"f.toml:14: policy.loads_in_flight: -1 is out of range", "f.toml:15: policy.failure_domains: 5000 is out of range",
		}},
		{"dates and times", "admin = 1979-05-27T07:32:00Z\n" + valid + "[policy]\nobjective = 07:32:00\n[tls]\nserve_key_file = 1979-05-27T07:32:00\n", []string{
			"f.toml:1: admin: is not known", "f.toml:13: policy.objective: does not fit: give a finite number", "f.toml:15: tls.serve_key_file: does not fit: give a text",
		}},
		{"date for a table of an array", "vms = [1979-05-27]\n" + valid, []string{"f.toml:1: vms[0]: does not fit: give a table"}},
		{"date for a table", "log = 1979-05-27\n" + valid, []string{"f.toml:1: log: does not fit: give a table"}},
		{"numbers that are not finite", valid + "[policy]\nobjective = nan\nloads_per_second = inf\nlink_bytes_per_second = -inf\n", []string{
			"f.toml:12: policy.objective: NaN is not a number to count with: give a finite number",
			"f.toml:13: policy.loads_per_second: +Inf is not", "f.toml:14: policy.link_bytes_per_second: -Inf is not",
		}},
		{"log and limits", valid + `[log]
level = "loud"
[limits]
max_body_bytes = 1
write_timeout_ms = -5
[tls]
serve_certificate_file = "missing.crt"
`, []string{
			`f.toml:12: log.level: "loud" is not known: use trace`, "f.toml:14: limits.max_body_bytes: 1 is out of range",
			"f.toml:15: limits.write_timeout_ms: -5 is out of range", "f.toml:17: tls.serve_certificate_file: needs tls.serve_key_file",
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Parse("f.toml", []byte(tc.text))
			if tc.want == nil {
				must.NoError(t, err)
				return
			}
			var faults *FaultsError
			must.True(t, errors.As(err, &faults))
			must.Len(t, len(tc.want), faults.Faults, must.Sprint(err))
			for i, want := range tc.want {
				must.StrHasPrefix(t, want, faults.Faults[i].String())
			}
		})
	}
}

// TestFaultsNeverShowSecrets guards against a fault that prints a plain token, which an
// operator wrote into the file in place of its SHA-256.
func TestFaultsNeverShowSecrets(t *testing.T) {
	_, err := Parse("f.toml", []byte("[[callers]]\nname = \"a\"\ntoken_sha256 = \"plain-secret\"\n"))
	must.ErrorContains(t, err, "token_sha256")
	must.StrNotContains(t, err.Error(), "plain-secret")
}

// TestStandinNumbersAreCheckedToo gives every number of the stand-ins' settings a value that
// is not finite, and a negative one.
func TestStandinNumbersAreCheckedToo(t *testing.T) {
	const head = "control_address = \"127.0.0.1:7000\"\n"
	for _, path := range []string{
		"engine.step_ms", "engine.step_per_request_ms", "engine.prefill_ms_per_token", "engine.cold_start_ms", "engine.report_lag_ms", "log.appends_per_second",
		"log.retention_ms", "store.loads_per_second", "store.full_speed", "store.load_time_ms", "vm_list.lag_ms",
	} {
		table, key, _ := strings.Cut(path, ".")
		for _, value := range []string{"nan", "inf", "-inf", "-1", "1979-05-27"} {
			t.Run(path+" "+value, func(t *testing.T) {
				_, err := ParseStandin("f.toml", []byte(head+"["+table+"]\n"+key+" = "+value+"\n"))
				var faults *FaultsError
				must.True(t, errors.As(err, &faults), must.Sprint(err))
				must.Len(t, 1, faults.Faults)
				must.StrHasPrefix(t, "f.toml:3: "+path+": ", faults.Faults[0].String())
			})
		}
	}
}
