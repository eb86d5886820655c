// Shows the most recent edits and finds the last one of a cell.

import { call } from "./api.js";
import { byID, element, formatTime } from "./dom.js";

const MAX_CHANGES = 12;

export class History {
  constructor() {
    this.edits = [];
    byID("history-filter").addEventListener("input", () => this.render());
    byID("history").parentElement.classList.add("cards");
  }

  async load() {
    this.edits = ((await call("/admin/history")).edits || []).reverse();
    this.render();
  }

  // Returns the most recent accepted change of a cell, with its edit, or null.
  lastOf(adapter, column) {
    for (const edit of this.edits) {
      const change = edit.kind === "accepted" && (edit.changes || []).find((c) => c.adapter === adapter && c.column === column);
      if (change) {
        return { edit, change };
      }
    }
    return null;
  }

  render() {
    const term = byID("history-filter").value.toLowerCase();
    const rows = this.edits.filter((edit) => !term || JSON.stringify(edit).toLowerCase().includes(term)).map(rowOf);
    const none = element("tr", {}, element("td", { colSpan: 5, className: "quiet" }, "No edit is kept that fits."));
    byID("history").tBodies[0].replaceChildren(...(rows.length > 0 ? rows : [none]));
  }
}

function rowOf(edit) {
  const changes = edit.changes || [];
  const lines = changes.slice(0, MAX_CHANGES).map((c) =>
    element("div", {}, `${c.adapter} ${c.column}: `, element("span", { className: "old" }, c.old || "–"), " → " + (c.new || "–")));
  const omitted = changes.length - lines.length + (edit.more || 0);
  if (omitted > 0) {
    lines.push(element("div", { className: "quiet" }, `and ${omitted} more cells`));
  }
  return element("tr", {},
    element("th", { scope: "row" }, String(edit.offset)),
    element("td", { dataset: { label: "When" } }, formatTime(edit.at_ms)),
    element("td", { dataset: { label: "Who" } }, edit.author),
    element("td", { dataset: { label: "Outcome" }, className: edit.kind === "accepted" ? "good" : "bad" }, edit.kind),
    element("td", { dataset: { label: "Changes" }, className: "wrap" }, element("div", {}, ...lines)));
}
