// Holds the table as it was read, with the cells that were changed and not saved.

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

  // Takes a table that was read. Changes that were not saved stay.
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

  // The text shown in a cell: the changed one, if there is one.
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
    const known = this.changes.get(key);
    this.changes.set(key, { adapter: row.adapter, column, old, value, readAt: known ? known.readAt : this.revision });
  }

  toggleDeleted(row) {
    if (row.isNew) {
      this.drop(row);
      return;
    }
    this.set(row, DELETED, this.isDeleted(row) ? "false" : "true");
  }

  drop(row) {
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

  // The cells of the edit that saves all changes.
  cells() {
    return [...this.changes.values()].map((c) => ({ adapter: c.adapter, column: c.column, value: c.value, read_at: c.readAt }));
  }

  // Filters and sorts into view.
  refresh() {
    const terms = this.filterText.toLowerCase().split(/\s+/).filter(Boolean);
    this.view = this.rows.filter((row) => row.isNew || terms.every((term) => this.meets(row, term)));
    const place = this.columns.indexOf(this.sortColumn);
    const text = place < 0 ? (row) => row.adapter : (row) => row.cells[place];
    const sign = this.descending ? -1 : 1;
    this.view.sort((a, b) => (b.isNew ? 1 : 0) - (a.isNew ? 1 : 0) || sign * compareTexts(text(a), text(b)) || compareTexts(a.adapter, b.adapter));
  }

  meets(row, term) {
    const split = term.indexOf("=");
    const place = split > 0 ? this.columns.indexOf(term.slice(0, split)) : -1;
    if (place >= 0) {
      return row.cells[place].toLowerCase() === term.slice(split + 1);
    }
    return row.search.includes(term);
  }
}

function rowOf(texts) {
  return { adapter: texts[0], cells: texts.slice(1), search: texts.join("\n").toLowerCase(), isNew: false };
}

// Compares numbers as numbers and all else as text.
function compareTexts(a, b) {
  const x = Number(a);
  const y = Number(b);
  if (a !== "" && b !== "" && !Number.isNaN(x) && !Number.isNaN(y)) {
    return x - y;
  }
  return a < b ? -1 : a > b ? 1 : 0;
}
