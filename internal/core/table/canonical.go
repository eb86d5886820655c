package table

// Canonical returns text the way the table shows it in the column called name.
// Its error is the remedy for a text that the column does not take.
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

// DefaultCell returns the text of a column that a new row does not set.
func DefaultCell(name string) string { return newRow("").Cell(name) }
