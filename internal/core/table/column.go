package table

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
)

// Column is the index of a column of the table.
type Column int

// Columns in the order in which they are shown.
const (
	ColumnBase Column = iota
	ColumnVersions
	ColumnCallers
	ColumnPriority
	ColumnWeight
	ColumnRequestsPerSecond
	ColumnTokensPerSecond
	ColumnConcurrency
	ColumnDeadline
	ColumnMinCopies
	ColumnEnabled
	columnCount
)

// AdapterColumn is the name of the key column. An edit can't change it.
const AdapterColumn = "adapter"

// DeletedColumn set to "true" deletes the row.
const DeletedColumn = "deleted"

// columnSpec describes one column, with its conversion from and to text.
type columnSpec struct {
	name string
	help string
	get  func(r *Row) string
	// set parses text into the row. Its error is a remedy; the column's value in the
	// row is then undefined.
	set func(r *Row, text string) error
}

var columnSpecs = [columnCount]columnSpec{
	ColumnBase: {
		name: "base", help: "base model that the adapter belongs to",
		get: func(r *Row) string { return string(r.Base) },
		set: func(r *Row, text string) error {
			r.Base = units.ModelName(text)
			return checkName(text, "the name of a base model, such as straw-7b")
		},
	},
	ColumnVersions: {
		name: "versions", help: "versions with their share of requests that name none, as v1:90,v2:10",
		get: func(r *Row) string { return formatVersions(r.Versions) },
		set: func(r *Row, text string) (err error) {
			r.Versions, err = parseVersions(text)
			return err
		},
	},
	ColumnCallers: {
		name: "callers", help: "callers that may reach the adapter, separated by commas; * allows all",
		get: func(r *Row) string { return formatCallers(r.Callers) },
		set: func(r *Row, text string) (err error) {
			r.Callers, err = parseCallers(text)
			return err
		},
	},
	ColumnPriority: {
		name: "priority", help: "-10 to 10; a greater one goes first",
		get: func(r *Row) string { return strconv.Itoa(int(r.Priority)) },
		set: func(r *Row, text string) error {
			n, err := parseInt(text, -10, 10)
			r.Priority = units.Priority(n)
			return err
		},
	},
	ColumnWeight: {
		name: "weight", help: "share under contention, 1 to 1000",
		get: func(r *Row) string { return strconv.Itoa(int(r.Weight)) },
		set: func(r *Row, text string) error {
			n, err := parseInt(text, 1, MaxWeight)
			r.Weight = int32(n)
			return err
		},
	},
	ColumnRequestsPerSecond: {
		name: "requests_per_s", help: "limit of requests a second; 0 is none",
		get: func(r *Row) string { return formatFloat(r.RequestsPerSecond) },
		set: func(r *Row, text string) (err error) {
			r.RequestsPerSecond, err = parseRate(text)
			return err
		},
	},
	ColumnTokensPerSecond: {
		name: "tokens_per_s", help: "limit of tokens a second, prompt and answer together; 0 is none",
		get: func(r *Row) string { return formatFloat(r.TokensPerSecond) },
		set: func(r *Row, text string) (err error) {
			r.TokensPerSecond, err = parseRate(text)
			return err
		},
	},
	ColumnConcurrency: {
		name: "concurrency", help: "limit of requests that run at once; 0 is none",
		get: func(r *Row) string { return strconv.Itoa(int(r.Concurrency)) },
		set: func(r *Row, text string) error {
			n, err := parseInt(text, 0, 1_000_000)
			r.Concurrency = int32(n)
			return err
		},
	},
	ColumnDeadline: {
		name: "deadline_ms", help: "default time for a whole answer in milliseconds, 1 to 3600000",
		get: func(r *Row) string { return strconv.FormatInt(int64(r.Deadline), 10) },
		set: func(r *Row, text string) error {
			n, err := parseInt(text, 1, int64(clock.Hour))
			r.Deadline = clock.Millis(n)
			return err
		},
	},
	ColumnMinCopies: {
		name: "min_copies", help: "engines a failure domain that keep the adapter loaded, 0 to 100",
		get: func(r *Row) string { return strconv.Itoa(int(r.MinCopies)) },
		set: func(r *Row, text string) error {
			n, err := parseInt(text, 0, 100)
			r.MinCopies = int32(n)
			return err
		},
	},
	ColumnEnabled: {
		name: "enabled", help: "true or false; a disabled adapter refuses all callers",
		get: func(r *Row) string { return strconv.FormatBool(r.Enabled) },
		set: func(r *Row, text string) error {
			enabled, err := strconv.ParseBool(text)
			r.Enabled = enabled
			if err != nil {
				return &remedy{"write true or false"}
			}
			return nil
		},
	},
}

// remedy is the error for an invalid value of a cell. It says what to write instead.
type remedy struct{ text string }

// Error implements error.
func (r *remedy) Error() string { return r.text }

// Columns returns the names of the columns in the order in which they are shown,
// without the key column.
func Columns() []string {
	names := make([]string, columnCount)
	for i := range columnSpecs {
		names[i] = columnSpecs[i].name
	}
	return names
}

// ColumnHelp returns one line of help for the column called name, or "".
func ColumnHelp(name string) string {
	column, ok := columnByName(name)
	if !ok {
		return ""
	}
	return columnSpecs[column].help
}

func columnByName(name string) (Column, bool) {
	for i := range columnSpecs {
		if columnSpecs[i].name == name {
			return Column(i), true
		}
	}
	return 0, false
}

// Cell returns the text of the row's cell in the column called name, or "" if
// there is no such column.
func (r *Row) Cell(name string) string {
	if name == AdapterColumn {
		return string(r.Adapter)
	}
	column, ok := columnByName(name)
	if !ok {
		return ""
	}
	return columnSpecs[column].get(r)
}

func checkName(text, what string) error {
	if text == "" || strings.ContainsAny(text, "@:, \t\r\n") {
		return &remedy{"write " + what + ", without @ : , or blanks"}
	}
	return nil
}

func parseInt(text string, least, most int64) (int64, error) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < least || n > most {
		return 0, &remedy{fmt.Sprintf("write a whole number from %d to %d", least, most)}
	}
	return n, nil
}

func parseRate(text string) (float64, error) {
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || !(rate >= 0 && rate <= 1e9) {
		return 0, &remedy{"write a number from 0 to 1000000000; 0 is no limit"}
	}
	return rate, nil
}

func formatFloat(f float64) string {
	return strconv.FormatFloat(f, 'f', -1, 64)
}

func formatVersions(versions []VersionWeight) string {
	parts := make([]string, len(versions))
	for i, v := range versions {
		parts[i] = string(v.Version) + ":" + strconv.Itoa(int(v.Weight))
	}
	return strings.Join(parts, ",")
}

func parseVersions(text string) ([]VersionWeight, error) {
	if text == "" {
		return nil, nil
	}
	var versions []VersionWeight
	for part := range strings.SplitSeq(text, ",") {
		name, weightText, found := strings.Cut(strings.TrimSpace(part), ":")
		if !found {
			weightText = "1"
		}
		weight, err := parseInt(weightText, 0, MaxWeight)
		if err != nil || checkName(name, "a version") != nil {
			return nil, &remedy{"write versions with weights from 0 to 1000, as v1:90,v2:10"}
		}
		versions = append(versions, VersionWeight{Version: units.Version(name), Weight: int32(weight)})
	}
	slices.SortFunc(versions, func(a, b VersionWeight) int { return cmp.Compare(a.Version, b.Version) })
	for i := 1; i < len(versions); i++ {
		if versions[i].Version == versions[i-1].Version {
			return nil, &remedy{fmt.Sprintf("name version %s only once", versions[i].Version)}
		}
	}
	return versions, nil
}

func formatCallers(callers []units.Caller) string {
	parts := make([]string, len(callers))
	for i, c := range callers {
		parts[i] = string(c)
	}
	return strings.Join(parts, ",")
}

func parseCallers(text string) ([]units.Caller, error) {
	if text == "" {
		return nil, nil
	}
	var callers []units.Caller
	for part := range strings.SplitSeq(text, ",") {
		name := strings.TrimSpace(part)
		if err := checkName(name, "callers separated by commas, or *"); err != nil {
			return nil, err
		}
		callers = append(callers, units.Caller(name))
	}
	slices.Sort(callers)
	return slices.Compact(callers), nil
}
