// Holds the table as last read from the server, and the unsaved changes of cells.

const DELETED = "deleted";

export class Sheet {
  constructor() {
    this.revision = 0;
    this.columns = [];
    this.help = [];
    this.rows = [];
    this.view = [];
    this.changes = new Map();
    this.filterText = "";
    this.sortColumn = "adapter";
    this.descending = false;
  }

  // Replaces the table by a newly read one. Unsaved changes are kept.
  load(table) {
    this.revision = table.revision;
    this.columns = table.columns;
    this.help = table.help;
    this.rows = table.rows.map(rowOf);
    this.byAdapter = new Map(this.rows.map((row) => [row.adapter, row]));
    for (const change of this.changes.values()) {
      if (!this.byAdapter.has(change.adapter)) {
        this.insertRow(change.adapter);
      }
    }
    this.refresh();
  }

  insertRow(adapter) {
    const row = rowOf([adapter, ...this.columns.map(() => "")]);
    row.isNew = true;
    this.rows.push(row);
    this.byAdapter.set(adapter, row);
  }

  addRow(adapter) {
    if (this.byAdapter.has(adapter)) {
      return false;
    }
    this.insertRow(adapter);
    this.refresh();
    return true;
  }

  change(adapter, column) {
    return this.changes.get(adapter + "\n" + column);
  }

  // Returns the text shown in a cell: the unsaved one if it was changed.
  text(row, column) {
    if (column === "adapter") {
      return row.adapter;
    }
    const change = this.change(row.adapter, column);
    return change ? change.value : row.cells[this.columns.indexOf(column)];
  }

  isDeleted(row) {
    return this.change(row.adapter, DELETED) !== undefined;
  }

  set(row, column, value) {
    const key = row.adapter + "\n" + column;
    const old = column === DELETED ? "false" : row.cells[this.columns.indexOf(column)];
    if (value === old) {
      this.changes.delete(key);
      return;
    }
    const previous = this.changes.get(key);
    this.changes.set(key, { adapter: row.adapter, column, old, value, readAt: previous ? previous.readAt : this.revision });
  }

  toggleDeleted(row) {
    if (row.isNew) {
      this.removeRow(row);
      return;
    }
    this.set(row, DELETED, this.isDeleted(row) ? "false" : "true");
  }

  removeRow(row) {
    for (const column of this.columns) {
      this.changes.delete(row.adapter + "\n" + column);
    }
    this.rows = this.rows.filter((other) => other !== row);
    this.byAdapter.delete(row.adapter);
    this.refresh();
  }

  discard() {
    this.changes.clear();
    this.rows = this.rows.filter((row) => !row.isNew);
    this.byAdapter = new Map(this.rows.map((row) => [row.adapter, row]));
    this.refresh();
  }

  // Returns the cells of the edit that saves all changes.
  cells() {
    return [...this.changes.values()].map((c) => ({ adapter: c.adapter, column: c.column, value: c.value, read_at: c.readAt }));
  }

  // Updates view: the rows that match the filter, in sort order.
  refresh() {
    const terms = this.filterText.toLowerCase().split(/\s+/).filter(Boolean);
    this.view = this.rows.filter((row) => row.isNew || terms.every((term) => this.matches(row, term)));
    const index = this.columns.indexOf(this.sortColumn);
    const text = index < 0 ? (row) => row.adapter : (row) => row.cells[index];
    const sign = this.descending ? -1 : 1;
    this.view.sort((a, b) => (b.isNew ? 1 : 0) - (a.isNew ? 1 : 0) || sign * compareTexts(text(a), text(b)) || compareTexts(a.adapter, b.adapter));
  }

  matches(row, term) {
    const split = term.indexOf("=");
    const index = split > 0 ? this.columns.indexOf(term.slice(0, split)) : -1;
    if (index >= 0) {
      return row.cells[index].toLowerCase() === term.slice(split + 1);
    }
    return row.search.includes(term);
  }
}

function rowOf(texts) {
  return { adapter: texts[0], cells: texts.slice(1), search: texts.join("\n").toLowerCase(), isNew: false };
}

// Compares two numbers numerically and any other texts alphabetically.
function compareTexts(a, b) {
  const x = Number(a);
  const y = Number(b);
  if (a !== "" && b !== "" && !Number.isNaN(x) && !Number.isNaN(y)) {
    return x - y;
  }
  return a < b ? -1 : a > b ? 1 : 0;
}
