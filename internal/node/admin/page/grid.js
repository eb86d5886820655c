// Shows one page of a sheet as an editable grid.

import { byID, element } from "./dom.js";

const NUMBERS = new Set(["priority", "weight", "requests_per_s", "tokens_per_s", "concurrency", "deadline_ms", "min_copies"]);

export class Grid {
  // Calls onChange after a cell has changed, and onSelect with the row, column and help
  // text of the cell that receives focus.
  constructor(sheet, { onChange, onSelect }) {
    this.sheet = sheet;
    this.onChange = onChange;
    this.onSelect = onSelect;
    this.page = 0;
    this.focusRow = 0;
    this.focusColumn = 0;
    this.table = byID("grid");
    this.table.parentElement.classList.add("cards");
    this.body = this.table.tBodies[0];
    this.body.addEventListener("keydown", (event) => this.onKey(event));
    this.body.addEventListener("focusin", (event) => this.onFocus(event));
    this.body.addEventListener("dblclick", (event) => this.editFrom(event.target));
    this.body.addEventListener("click", (event) => this.onClick(event));
  }

  get size() {
    return Number(byID("size").value);
  }

  get pages() {
    return Math.max(1, Math.ceil(this.sheet.view.length / this.size));
  }

  showPage(page) {
    this.page = Math.min(Math.max(0, page), this.pages - 1);
    this.focusRow = 0;
    this.render();
  }

  render() {
    this.page = Math.min(this.page, this.pages - 1);
    const first = this.page * this.size;
    const rows = this.sheet.view.slice(first, first + this.size);
    this.shown = rows;
    this.renderHead();
    this.body.replaceChildren(...rows.map((row, i) => this.renderRow(row, i)));
    const total = this.sheet.view.length;
    byID("range").textContent = total === 0 ? "no rows" : `${first + 1}–${first + rows.length} of ${total}`;
    for (const id of ["first", "previous"]) {
      byID(id).disabled = this.page === 0;
    }
    for (const id of ["next", "last"]) {
      byID(id).disabled = this.page >= this.pages - 1;
    }
  }

  renderHead() {
    const heads = ["adapter", ...this.sheet.columns].map((column, i) => {
      const sorted = column === this.sheet.sortColumn;
      const mark = sorted ? (this.sheet.descending ? " ↓" : " ↑") : "";
      const button = element("button", { title: i > 0 ? this.sheet.help[i - 1] : "sort by adapter" }, column + mark);
      button.addEventListener("click", () => this.sortBy(column));
      const order = sorted ? (this.sheet.descending ? "descending" : "ascending") : "none";
      return element("th", { scope: "col", "aria-sort": order, className: NUMBERS.has(column) ? "number" : "" }, button);
    });
    heads.push(element("th", { scope: "col", "aria-label": "Delete" }));
    this.table.tHead.replaceChildren(element("tr", {}, ...heads));
  }

  sortBy(column) {
    this.sheet.descending = this.sheet.sortColumn === column && !this.sheet.descending;
    this.sheet.sortColumn = column;
    this.sheet.refresh();
    this.showPage(0);
  }

  renderRow(row, index) {
    const deleted = this.sheet.isDeleted(row);
    const line = element("tr", { className: (deleted ? "gone" : "") + (this.sheet.text(row, "enabled") === "false" ? " off" : "") });
    line.append(element("th", { scope: "row", title: row.adapter }, row.adapter));
    this.sheet.columns.forEach((column, i) => line.append(this.renderCell(row, column, index, i)));
    const remove = element("button", { title: deleted ? "Keep the row" : "Delete the row", "aria-label": (deleted ? "Keep " : "Delete ") + row.adapter }, deleted ? "keep" : "✕");
    remove.addEventListener("click", () => {
      this.sheet.toggleDeleted(row);
      this.render();
      this.onChange();
    });
    line.append(element("td", { className: "action" }, remove));
    return line;
  }

  renderCell(row, column, index, columnIndex) {
    const text = this.sheet.text(row, column);
    const cell = element("td", { title: text, dataset: { label: column } }, text);
    cell.tabIndex = index === this.focusRow && columnIndex === this.focusColumn ? 0 : -1;
    cell.setAttribute("role", "gridcell");
    cell.dataset.row = index;
    cell.dataset.column = columnIndex;
    cell.classList.toggle("changed", this.sheet.change(row.adapter, column) !== undefined);
    cell.classList.toggle("number", NUMBERS.has(column));
    return cell;
  }

  cellAt(row, column) {
    return this.body.rows[row]?.cells[column + 1];
  }

  move(row, column) {
    row = Math.min(Math.max(0, row), this.shown.length - 1);
    column = Math.min(Math.max(0, column), this.sheet.columns.length - 1);
    const old = this.cellAt(this.focusRow, this.focusColumn);
    if (old) {
      old.tabIndex = -1;
    }
    this.focusRow = row;
    this.focusColumn = column;
    const cell = this.cellAt(row, column);
    if (cell) {
      cell.tabIndex = 0;
      cell.focus();
    }
  }

  onFocus(event) {
    const cell = event.target.closest("td[data-row]");
    if (!cell) {
      return;
    }
    this.focusRow = Number(cell.dataset.row);
    this.focusColumn = Number(cell.dataset.column);
    this.onSelect(this.shown[this.focusRow], this.sheet.columns[this.focusColumn], this.sheet.help[this.focusColumn]);
  }

  // On touch devices, a tap starts editing.
  onClick(event) {
    if (matchMedia("(pointer: coarse)").matches) {
      this.editFrom(event.target);
    }
  }

  onKey(event) {
    if (event.target.tagName === "INPUT" || event.target.tagName === "BUTTON" || event.ctrlKey || event.metaKey || event.altKey) {
      return;
    }
    const moves = { ArrowUp: [-1, 0], ArrowDown: [1, 0], ArrowLeft: [0, -1], ArrowRight: [0, 1] };
    if (moves[event.key]) {
      event.preventDefault();
      this.move(this.focusRow + moves[event.key][0], this.focusColumn + moves[event.key][1]);
    } else if (event.key === "PageDown" || event.key === "PageUp") {
      event.preventDefault();
      this.showPage(this.page + (event.key === "PageDown" ? 1 : -1));
      this.move(0, this.focusColumn);
    } else if (event.key === "Home" || event.key === "End") {
      event.preventDefault();
      this.move(this.focusRow, event.key === "Home" ? 0 : this.sheet.columns.length - 1);
    } else if (event.key === "Enter" || event.key === "F2") {
      event.preventDefault();
      this.editFrom(event.target);
    } else if (event.key.length === 1 && event.key !== "/" && event.key !== " ") {
      event.preventDefault();
      this.editFrom(event.target, event.key);
    }
  }

  editFrom(target, text) {
    const cell = target.closest("td[data-row]");
    if (!cell || cell.querySelector("input")) {
      return;
    }
    const row = this.shown[Number(cell.dataset.row)];
    const column = this.sheet.columns[Number(cell.dataset.column)];
    if (this.sheet.isDeleted(row)) {
      return;
    }
    const input = element("input", { value: text ?? this.sheet.text(row, column), "aria-label": row.adapter + " " + column });
    cell.replaceChildren(input);
    input.focus();
    if (text === undefined) {
      input.select();
    }
    this.listen(cell, input, row, column);
  }

  listen(cell, input, row, column) {
    let open = true;
    const close = (save) => {
      if (!open) {
        return;
      }
      open = false;
      if (save) {
        this.sheet.set(row, column, input.value.trim());
        this.onChange();
      }
      const fresh = this.renderCell(row, column, Number(cell.dataset.row), Number(cell.dataset.column));
      cell.replaceWith(fresh);
    };
    input.addEventListener("blur", () => close(true));
    input.addEventListener("keydown", (event) => {
      const steps = { Enter: [1, 0], Escape: [0, 0], Tab: [0, event.shiftKey ? -1 : 1] };
      const step = steps[event.key];
      if (!step) {
        return;
      }
      event.preventDefault();
      event.stopPropagation();
      close(event.key !== "Escape");
      this.move(this.focusRow + step[0], this.focusColumn + step[1]);
    });
  }
}
