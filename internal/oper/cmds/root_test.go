package cmds

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"mangostile/internal/oper/config"

	"github.com/shoenig/test/must"
)

func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	sound, faulty := filepath.Join(dir, "sound.toml"), filepath.Join(dir, "faulty.toml")
	must.NoError(t, os.WriteFile(sound, []byte(config.Example), 0o600))
	text := strings.NewReplacer(`level = "info"`, `level = "loud"`, `kind = "engine"`, `kind = "motor"`, `id = "entry-1"`, `idd = "entry-1"`).Replace(config.Example)
	must.NoError(t, os.WriteFile(faulty, []byte(text), 0o600))
	tests := []struct {
		name string
		args []string
		code int
		out  []string
		err  []string
	}{
		{"help", []string{"--help"}, exitDone, []string{"demo", "serve", "settings", "standin"}, nil},
		{"help of a command", []string{"serve", "--help"}, exitDone, []string{"mangostile serve --settings"}, nil},
		{"unknown command", []string{"dance"}, exitUsage, nil, []string{"dance"}},
		{"unknown subcommand", []string{"settings", "dance"}, exitUsage, nil, []string{"dance"}},
		{"unknown flag", []string{"serve", "--loud"}, exitUsage, nil, []string{"loud"}},
		{"flag missing", []string{"serve"}, exitUsage, nil, []string{"settings"}},
		{"file missing", []string{"serve", "--settings", filepath.Join(dir, "none.toml")}, exitFailed, nil, []string{"name an existing file"}},
		{"check without file", []string{"settings", "check"}, exitUsage, nil, []string{"name one file"}},
		{"check of a sound file", []string{"settings", "check", sound}, exitDone, []string{"no fault"}, nil},
		{"check of a faulty file", []string{"settings", "check", faulty}, exitFailed, []string{"entry_vm.idd", "log.level", "vms[0].kind"}, []string{"4 faults"}},
		{"serve with a faulty file", []string{"serve", "--settings", faulty}, exitFailed, nil, []string{"log.level"}},
		{"example", []string{"settings", "example"}, exitDone, []string{"[entry_vm]"}, nil},
		{"example of the stand-ins", []string{"settings", "example", "--standin"}, exitDone, []string{"control_address"}, nil},
		{"token", []string{"settings", "token", "--stdin"}, exitDone, []string{"ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"}, nil},
		{"completion", []string{"completion", "bash"}, exitDone, []string{"complete"}, nil},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var out, errOut strings.Builder
			code := run(t.Context(), append([]string{"mangostile"}, tc.args...), strings.NewReader("abc\n"), &out, &errOut)
			must.Eq(t, tc.code, code, must.Sprint(out.String(), errOut.String()))
			for _, want := range tc.out {
				must.StrContains(t, out.String(), want)
			}
			for _, want := range tc.err {
				must.StrContains(t, errOut.String(), want)
			}
		})
	}
}
