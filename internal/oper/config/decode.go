package config

import (
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// decode decodes text into a T and checks it. If text has faults, the error is a
// FaultsError with all of them.
func decode[T any](file string, text []byte, check func(*T, *checker)) (*T, error) {
	c := &checker{file: file}
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		c.syntax(err)
		return nil, c.err()
	}
	c.lines = readKeyLines(text)
	c.prune(tree, reflect.TypeFor[T](), "")
	pruned, err := toml.Marshal(tree)
	if err != nil {
		return nil, errors.Wrap(err, "settings "+file)
	}
	settings := new(T)
	if err := toml.Unmarshal(pruned, settings); err != nil {
		return nil, errors.Wrap(err, "settings "+file)
	}
	check(settings, c)
	if err := c.err(); err != nil {
		return nil, err
	}
	return settings, nil
}

// prune removes keys from tree that the struct type t doesn't have or whose values don't
// fit it, and records a fault for each.
func (c *checker) prune(tree map[string]any, t reflect.Type, table string) {
	fields := fieldsByKey(t)
	for _, key := range slices.Sorted(maps.Keys(tree)) {
		path := joinKey(table, key)
		field, known := fields[key]
		switch {
		case !known:
			c.fault(path, "is not known: remove it, or use one of %s", strings.Join(slices.Sorted(maps.Keys(fields)), ", "))
			delete(tree, key)
		case !c.fits(tree[key], field.Type, path):
			delete(tree, key)
		}
	}
}

// fieldsByKey returns the fields of the struct type t by their TOML keys.
func fieldsByKey(t reflect.Type) map[string]reflect.StructField {
	fields := map[string]reflect.StructField{}
	for i := range t.NumField() {
		if key := t.Field(i).Tag.Get("toml"); key != "" {
			fields[key] = t.Field(i)
		}
	}
	return fields
}

// fits reports whether value can be stored in a t, and records a fault if not.
func (c *checker) fits(value any, t reflect.Type, path string) bool {
	switch value := value.(type) {
	case map[string]any:
		if t.Kind() == reflect.Struct {
			c.prune(value, t, path)
			return true
		}
	case []any:
		if t.Kind() == reflect.Slice {
			return c.fitsAll(value, t.Elem(), path)
		}
	case int64:
		if t.Kind() == reflect.Float64 {
			return true
		}
		if reflect.Zero(t).CanInt() && !reflect.Zero(t).OverflowInt(value) {
			return true
		}
	case float64:
		if t.Kind() == reflect.Float64 {
			if !math.IsNaN(value) && !math.IsInf(value, 0) {
				return true
			}
			c.fault(path, "%v is not a number to count with: give %s", value, describeType(t))
			return false
		}
	case string, bool:
		if reflect.TypeOf(value).Kind() == t.Kind() {
			return true
		}
	}
	// Dates and times remain; no setting takes one.
	c.fault(path, "does not fit: give %s", describeType(t))
	return false
}

func (c *checker) fitsAll(values []any, t reflect.Type, path string) bool {
	for i, value := range values {
		if !c.fits(value, t, fmt.Sprintf("%s[%d]", path, i)) {
			return false
		}
	}
	return true
}

func describeType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a text in quotes"
	case reflect.Bool:
		return "true or false"
	case reflect.Struct:
		return "a table"
	case reflect.Slice:
		return "an array"
	case reflect.Float64:
		return "a finite number"
	default:
		return fmt.Sprintf("a whole number of %d bits", t.Bits())
	}
}
