// Reviews and saves changes: dry run, save, conflicts, and progress of the rollout.

import { call, sendEdit } from "./api.js";
import { byID, element } from "./dom.js";

const ROLLOUT_POLLS = 50;
const ROLLOUT_POLL_PERIOD_MS = 200;
const MAX_LISTED = 300;

export class Saving {
  // Calls notify with a text and a CSS class, and onSaved after the table has changed.
  constructor(sheet, { notify, onSaved }) {
    this.sheet = sheet;
    this.notify = notify;
    this.onSaved = onSaved;
    byID("review-cancel").addEventListener("click", () => byID("review").close());
    byID("review-save").addEventListener("click", () => this.save());
    byID("conflict-cancel").addEventListener("click", () => byID("conflict").close());
    byID("conflict-save").addEventListener("click", () => this.resolveConflicts());
  }

  async review() {
    if (this.sheet.changes.size === 0) {
      return;
    }
    const changes = [...this.sheet.changes.values()];
    const lines = changes.slice(0, MAX_LISTED).map((c) => [c.adapter, c.column, c.old || "–", c.value || "–"]);
    byID("review-body").replaceChildren(listing(["Adapter", "Column", "As read", "New"], lines));
    byID("review-title").textContent = `Review and save: ${changes.length} ${changes.length === 1 ? "cell" : "cells"}`;
    byID("review-error").textContent = "";
    byID("review").showModal();
    byID("review-save").focus();
    await this.attempt(async () => this.showFaults(await sendEdit(this.sheet.cells(), true)));
  }

  async attempt(work) {
    try {
      await work();
    } catch (error) {
      byID("review-error").textContent = error.message;
    }
  }

  // Shows the faults or conflicts of an edit. Returns whether there are any.
  showFaults(answer) {
    if (answer.kind === "accepted") {
      return false;
    }
    if (answer.kind === "conflict") {
      byID("review").close();
      this.showConflicts(answer);
      return true;
    }
    const faults = (answer.faults || []).map((f) => `Row ${f.adapter}, column ${f.column}: “${f.value}”: ${f.remedy}.`);
    byID("review-error").replaceChildren(...[answer.message, ...faults].filter(Boolean).map((text) => element("div", {}, text)));
    return true;
  }

  async save() {
    const button = byID("review-save");
    button.disabled = true;
    await this.attempt(async () => {
      const answer = await sendEdit(this.sheet.cells(), false);
      if (!this.showFaults(answer)) {
        byID("review").close();
        await this.saved(answer);
      }
    });
    button.disabled = false;
  }

  showConflicts(answer) {
    this.conflicts = answer.faults || [];
    const lines = this.conflicts.map((fault, i) => [
      fault.adapter, fault.column,
      choice(i, "mine", fault.value, false), choice(i, "theirs", fault.current ?? "", true),
    ]);
    byID("conflict-body").replaceChildren(listing(["Adapter", "Column", "Yours", "In force"], lines));
    byID("conflict").showModal();
  }

  // Resolves conflicts: the cells that the operator keeps are based on the current
  // revision, the others are discarded. Then it reviews the edit again.
  async resolveConflicts() {
    const table = await call("/admin/table").catch((error) => this.notify(error.message, "bad"));
    if (!table) {
      return;
    }
    this.conflicts.forEach((fault, i) => {
      const key = fault.adapter + "\n" + fault.column;
      const mine = document.querySelector(`input[name="choice-${i}"][value="mine"]`).checked;
      if (mine && this.sheet.changes.has(key)) {
        this.sheet.changes.get(key).readAt = table.revision;
      } else {
        this.sheet.changes.delete(key);
      }
    });
    byID("conflict").close();
    this.sheet.load(table);
    await this.onSaved();
    if (this.sheet.changes.size > 0) {
      await this.review();
    }
  }

  async saved(answer) {
    this.sheet.changes.clear();
    this.notify(`Accepted at offset ${answer.offset}. Waiting until it is in force.`, "");
    await this.onSaved();
    for (let i = 0; i < ROLLOUT_POLLS; i++) {
      const rollout = describeRollout(await call("/admin/members"), answer.offset + 1);
      this.notify(rollout.text, rollout.complete ? "good" : "");
      if (rollout.complete) {
        return;
      }
      await new Promise((resolve) => setTimeout(resolve, ROLLOUT_POLL_PERIOD_MS));
    }
  }
}

// Describes on which entry VMs a revision is active, and which ones are behind or not heard
// from. complete is false if there are any of the latter two. For entry VMs of other failure
// domains, only the summary of their domain is available.
function describeRollout({ entry_vms: members, failure_domains: domains }, revision) {
  const activeDomains = new Set((domains || []).filter((d) => d.lowest_revision >= revision).map((d) => d.failure_domain));
  const active = members.filter((m) => m.heard && m.alive && m.revision >= revision);
  const behind = members.filter((m) => m.heard && m.alive && m.revision < revision);
  const byDomain = members.filter((m) => !m.heard && activeDomains.has(m.failure_domain));
  const unreachable = members.filter((m) => (!m.heard && !activeDomains.has(m.failure_domain)) || (m.heard && !m.alive));
  let text = `In force on ${active.length} of ${members.length} entry VMs.`;
  if (byDomain.length > 0) {
    text += ` By the word of their failure domain on ${byDomain.length} more, if it hears of them: ${names(byDomain)}.`;
  }
  if (behind.length > 0) {
    text += ` Not yet on ${names(behind)}.`;
  }
  if (unreachable.length > 0) {
    text += ` Not heard from: ${names(unreachable)}.`;
  }
  return { text, complete: behind.length + unreachable.length === 0 };
}

function names(members) {
  return members.map((m) => `${m.id} (${m.failure_domain})`).join(", ");
}

function choice(index, value, text, checked) {
  const input = element("input", { type: "radio", name: "choice-" + index, value, checked });
  return element("label", { className: "choice" }, input, text || "–");
}

function listing(headings, lines) {
  const head = element("tr", {}, ...headings.map((h) => element("th", {}, h)));
  const rows = lines.map((cells) => element("tr", {}, ...cells.map((c) => element("td", { className: "wrap" }, c))));
  return element("table", {}, element("thead", {}, head), element("tbody", {}, ...rows));
}
