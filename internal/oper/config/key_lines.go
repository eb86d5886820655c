package config

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyLines maps each key and table of a TOML text to its line. The elements of an array of
// tables have the keys name[0], name[1] and so on.
type keyLines map[string]int

// readKeyLines returns the lines of the keys in text, which must have no syntax errors.
func readKeyLines(text []byte) keyLines {
	var p unstable.Parser
	p.Reset(text)
	lines := keyLines{}
	counts := map[string]int{}
	table := ""
	for p.NextExpression() {
		expression := p.Expression()
		key, line := keyOf(&p, expression)
		switch expression.Kind {
		case unstable.Table:
			table = key
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s[%d]", key, counts[key])
			counts[key]++
		case unstable.KeyValue:
			lines[joinKey(table, key)] = line
			continue
		default:
			continue
		}
		lines[table] = line
	}
	return lines
}

// keyOf returns the dotted key of a key-value pair or a table and its line, or "" and 0 for a
// comment.
func keyOf(p *unstable.Parser, expression *unstable.Node) (key string, line int) {
	if expression.Kind == unstable.Comment {
		return "", 0
	}
	var parts []string
	for it := expression.Key(); it.Next(); {
		node := it.Node()
		parts = append(parts, string(node.Data))
		line = p.Shape(node.Raw).Start.Line
	}
	return strings.Join(parts, "."), line
}

func joinKey(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}

// line returns the line of key, or that of the innermost enclosing table in the file, or 1
// if there is none.
func (l keyLines) line(key string) int {
	for key != "" {
		if line := l[key]; line > 0 {
			return line
		}
		key = key[:max(0, strings.LastIndexAny(key, ".["))]
	}
	return 1
}
