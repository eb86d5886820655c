package cmds

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// logTimestampBytes is the length of the timestamp of a log line, in bytes.
const logTimestampBytes = len("2006-01-02T15:04:05.000Z")

// loggedLine is one line of an entry VM's log: its timestamp, the machine or file that it
// is from, and its text.
type loggedLine struct {
	at     string
	source string
	text   string
}

// explainLogs prints the lines of several logs about one request, backend server, adapter
// or shard in the order of their timestamps. The file "-" is standard input.
func explainLogs(w io.Writer, files []string, id string) error {
	var lines []loggedLine
	for _, file := range files {
		found, err := readLines(file, id)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return errors.Errorf("no line on %s in %s: name the logs of all entry VMs with --log, and of the time in question", id, strings.Join(files, ", "))
	}
	slices.SortStableFunc(lines, func(a, b loggedLine) int { return strings.Compare(a.at, b.at) })
	for _, line := range lines {
		if _, err := fmt.Fprintf(w, "%s  %s  %s\n", line.at, line.source, line.text); err != nil {
			return errors.Wrap(err, "write lines")
		}
	}
	return nil
}

// readLines returns the lines of a file that have id as the value of a key.
func readLines(file, id string) ([]loggedLine, error) {
	in := os.Stdin
	if file != "-" {
		opened, err := os.Open(file)
		if err != nil {
			return nil, errors.Wrap(err, "read log: name readable files")
		}
		defer func() { _ = opened.Close() }()
		in = opened
	}
	var lines []loggedLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		if line, ok := parseLogLine(scanner.Text(), id); ok {
			if line.source == "" {
				line.source = file
			}
			lines = append(lines, line)
		}
	}
	return lines, errors.Wrapf(scanner.Err(), "read log %s", file)
}

// maxLogLine bounds a log line, in bytes.
const maxLogLine = 1 << 20

// parseLogLine splits a line into its timestamp, the machine name that log collectors put
// before it, and its text. It reports whether the line has id as the value of a key.
func parseLogLine(text, id string) (loggedLine, bool) {
	if !hasValue(text, id) {
		return loggedLine{}, false
	}
	before, after, ok := strings.Cut(text, " [")
	if !ok || len(before) < logTimestampBytes {
		return loggedLine{text: text}, true
	}
	at := before[len(before)-logTimestampBytes:]
	fields := strings.Fields(before[:len(before)-logTimestampBytes])
	line := loggedLine{at: at, text: strings.TrimSpace(after[strings.IndexByte(after, ']')+1:])}
	if len(fields) > 0 {
		line.source = fields[len(fields)-1]
	}
	return line, true
}

// hasValue reports whether a line has id as the whole value of a key.
func hasValue(text, id string) bool {
	for rest := text; ; {
		at := strings.Index(rest, "="+id)
		if at < 0 {
			return false
		}
		rest = rest[at+1+len(id):]
		if rest == "" || rest[0] == ' ' {
			return true
		}
	}
}
