package table

// Canonical returns text in the format in which the table shows it in the column called
// name. If the column doesn't accept text, the error says what to write instead.
func Canonical(name, text string) (string, error) {
	column, ok := columnByName(name)
	if !ok {
		return "", &remedy{"there is no column " + name}
	}
	row := newRow("")
	if err := columnSpecs[column].set(row, text); err != nil {
		return "", err
	}
	return columnSpecs[column].get(row), nil
}

// DefaultCell returns the text that the column called name has in a new row.
func DefaultCell(name string) string { return newRow("").Cell(name) }
