// Connects the views of the page.

import { call, setToken } from "./api.js";
import { byID, formatTime } from "./dom.js";
import { Grid } from "./grid.js";
import { History } from "./history.js";
import { Saving } from "./saving.js";
import { Sheet } from "./sheet.js";
import { Status } from "./status.js";

const FILTER_DELAY_MS = 80;

const sheet = new Sheet();
const history = new History();
const grid = new Grid(sheet, { onChange: showPending, onSelect: showCellHelp });
const saving = new Saving(sheet, { notify, onSaved: reload });
const status = new Status(showEntryVM);

function notify(text, kind) {
  const notice = byID("notice");
  notice.hidden = !text;
  notice.className = kind || "";
  notice.textContent = text;
}

function showPending() {
  const count = sheet.changes.size;
  byID("pending").textContent = count === 0 ? "" : `${count} ${count === 1 ? "cell" : "cells"} not saved`;
  byID("save").disabled = count === 0;
  byID("discard").disabled = count === 0 && !sheet.rows.some((row) => row.isNew);
}

function showCellHelp(row, column, help) {
  const last = history.lastOf(row.adapter, column);
  const lastChange = last ? ` Last changed by ${last.edit.author} on ${formatTime(last.edit.at_ms)}, from “${last.change.old || "–"}” to “${last.change.new || "–"}”.` : "";
  byID("cell-help").textContent = `${row.adapter} / ${column}: ${help}.${lastChange}`;
}

function showEntryVM(answer) {
  byID("where").textContent = `${answer.entry_vm} in ${answer.failure_domain}, ${answer.ready ? "ready" : "not ready"}, revision ${answer.revision}`;
  if (answer.revision > sheet.revision && !document.querySelector("dialog[open]") && sheet.columns.length > 0) {
    byID("reload").textContent = `Reload: revision ${answer.revision}`;
    byID("reload").classList.add("primary");
  }
}

async function reload() {
  sheet.load(await call("/admin/table"));
  await history.load();
  byID("reload").textContent = "Reload";
  byID("reload").classList.remove("primary");
  grid.render();
  showPending();
}

async function start() {
  try {
    await reload();
    await status.poll();
  } catch (error) {
    if (error.status === 401) {
      askToken("");
      return;
    }
    notify(error.message, "bad");
  }
}

function askToken(message) {
  byID("login-error").textContent = message;
  byID("login").showModal();
  byID("token").focus();
}

byID("login").addEventListener("cancel", (event) => event.preventDefault());
byID("login").querySelector("form").addEventListener("submit", async (event) => {
  event.preventDefault();
  setToken(byID("token").value);
  try {
    await reload();
    byID("token").value = "";
    byID("login").close();
    await status.poll();
  } catch (error) {
    byID("login-error").textContent = error.status === 401 ? "No operator of this entry VM's settings has this token." : error.message;
  }
});

function showView(name) {
  for (const view of ["table", "history", "status"]) {
    byID("view-" + view).hidden = view !== name;
    byID("tab-" + view).setAttribute("aria-selected", String(view === name));
  }
  status.visible = name === "status";
  if (name === "history") {
    history.load().catch((error) => notify(error.message, "bad"));
  } else if (name === "status") {
    status.poll();
  }
}

for (const name of ["table", "history", "status"]) {
  byID("tab-" + name).addEventListener("click", () => {
    location.hash = name;
  });
}
addEventListener("hashchange", () => showView(location.hash.slice(1) || "table"));

let filterTimer;
byID("filter").addEventListener("input", () => {
  clearTimeout(filterTimer);
  filterTimer = setTimeout(() => {
    sheet.filterText = byID("filter").value;
    sheet.refresh();
    grid.showPage(0);
  }, FILTER_DELAY_MS);
});
byID("first").addEventListener("click", () => grid.showPage(0));
byID("previous").addEventListener("click", () => grid.showPage(grid.page - 1));
byID("next").addEventListener("click", () => grid.showPage(grid.page + 1));
byID("last").addEventListener("click", () => grid.showPage(grid.pages - 1));
byID("size").addEventListener("change", () => grid.showPage(0));
byID("reload").addEventListener("click", () => reload().catch((error) => notify(error.message, "bad")));
byID("save").addEventListener("click", () => saving.review());
byID("discard").addEventListener("click", () => {
  sheet.discard();
  grid.render();
  showPending();
});
byID("add").addEventListener("click", () => {
  const name = (prompt("Name of the new adapter") || "").trim();
  if (name && !sheet.addRow(name)) {
    notify(`There is a row ${name} already: filter for it.`, "bad");
  }
  grid.showPage(0);
  grid.move(0, 0);
  showPending();
});

addEventListener("keydown", (event) => {
  if (event.key === "/" && !event.target.closest("input, dialog")) {
    event.preventDefault();
    byID("filter").focus();
  } else if (event.key === "s" && (event.ctrlKey || event.metaKey)) {
    event.preventDefault();
    document.activeElement.blur();
    if (!document.querySelector("dialog[open]")) {
      saving.review();
    }
  }
});
addEventListener("beforeunload", (event) => {
  if (sheet.changes.size > 0) {
    event.preventDefault();
  }
});

showView(location.hash.slice(1) || "table");
start();
