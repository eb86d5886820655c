package cmds

import (
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"mangostile/internal/core/table"
	"mangostile/internal/oper/config"

	"github.com/shoenig/test/must"
	"github.com/urfave/cli/v3"
)

const docsDir = "../../../docs"

func readDoc(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(docsDir, name))
	must.NoError(t, err)
	return string(text)
}

// section returns the text of a page between a heading and the next one.
func section(t *testing.T, page, heading string) string {
	t.Helper()
	_, rest, found := strings.Cut(page, "\n## "+heading+"\n")
	must.True(t, found, must.Sprintf("no heading %s", heading))
	text, _, _ := strings.Cut(rest, "\n## ")
	return text
}

// TestSettingsPageNamesEveryKey checks that the page and the example have each key, on the
// page in the section of its table.
func TestSettingsPageNamesEveryKey(t *testing.T) {
	page := readDoc(t, "operators/settings.md")
	headings := map[string]string{"callers": "callers and operators", "operators": "callers and operators"}
	settings := reflect.TypeFor[config.Settings]()
	for i := range settings.NumField() {
		name := settings.Field(i).Tag.Get("toml")
		fields := settings.Field(i).Type
		if fields.Kind() == reflect.Slice {
			fields = fields.Elem()
		}
		heading := name
		if joined := headings[name]; joined != "" {
			heading = joined
		}
		text := section(t, page, heading)
		for j := range fields.NumField() {
			key := fields.Field(j).Tag.Get("toml")
			must.StrContains(t, text, "`"+key+"`", must.Sprintf("[%s] %s", name, key))
			must.StrContains(t, config.Example, key, must.Sprint("settings example"))
		}
	}
}

func TestTablePageNamesEveryColumn(t *testing.T) {
	text := section(t, readDoc(t, "operators/table.md"), "Columns")
	for _, column := range append(table.Columns(), table.AdapterColumn, table.DeletedColumn, table.StateColumn) {
		must.StrContains(t, text, "`"+column+"`")
	}
}

// TestCallersPageNamesEveryCode checks that the page lists each refusal code with a status.
func TestCallersPageNamesEveryCode(t *testing.T) {
	page := readDoc(t, "callers.md")
	source, err := os.ReadFile("../../base/errs/refusal.go")
	must.NoError(t, err)
	codes := regexp.MustCompile(`Code\w+ +Code = "(\w+)"`).FindAllStringSubmatch(string(source), -1)
	must.SliceNotEmpty(t, codes)
	for _, code := range codes {
		must.RegexMatch(t, regexp.MustCompile(`\| `+"`"+code[1]+"`"+` \| \d{3} \|`), page)
	}
}

// TestPagesNameOnlyWhatIsThere checks that each link leads to an existing page and that
// the program has each command and flag that a page's command lines use.
func TestPagesNameOnlyWhatIsThere(t *testing.T) {
	pages, err := filepath.Glob(docsDir + "/operators/*.md")
	must.NoError(t, err)
	pages = append(pages, "../../../README.md", docsDir+"/callers.md", docsDir+"/architecture.md", docsDir+"/contributing.md", docsDir+"/glossary.md")
	link := regexp.MustCompile(`\]\(([a-z_./A-Z]+\.md)\)`)
	command := regexp.MustCompile(`(?m)^    .*mangostile ([a-z].*)$`)
	for _, page := range pages {
		text, err := os.ReadFile(page)
		must.NoError(t, err)
		for _, found := range link.FindAllStringSubmatch(string(text), -1) {
			_, err := os.Stat(filepath.Join(filepath.Dir(page), found[1]))
			must.NoError(t, err, must.Sprint(page))
		}
		for _, found := range command.FindAllStringSubmatch(string(text), -1) {
			checkCommandLine(t, page, found[1])
		}
	}
}

func checkCommandLine(t *testing.T, page, line string) {
	t.Helper()
	cmd := newRootCmd()
	for word := range strings.FieldsSeq(line) {
		if sub := cmd.Command(word); sub != nil {
			cmd = sub
			continue
		}
		if flag, ok := strings.CutPrefix(word, "--"); ok && flag != "" {
			must.True(t, hasFlag(cmd, flag), must.Sprintf("%s: %s has no flag %s", page, cmd.Name, word))
		}
	}
	must.NotEq(t, "mangostile", cmd.Name, must.Sprintf("%s: %s is no command", page, line))
}

func hasFlag(cmd *cli.Command, name string) bool {
	name, _, _ = strings.Cut(name, "=")
	for _, flag := range cmd.Flags {
		for _, known := range flag.Names() {
			if known == name {
				return true
			}
		}
	}
	return false
}
