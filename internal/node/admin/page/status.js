// Shows entry VMs, backend servers, loads and open requests.

import { call, sendEdit } from "./api.js";
import { byID, cardTable, element } from "./dom.js";

const POLL_PERIOD_MS = 2000;
const MAX_ADAPTERS = 6;

export class Status {
  // Calls onStatus with each status that was read.
  constructor(onStatus) {
    this.onStatus = onStatus;
    byID("view-status").addEventListener("click", (event) => this.onClick(event.target));
    this.visible = false;
    setInterval(() => this.poll(), POLL_PERIOD_MS);
  }

  async poll() {
    if (document.hidden || document.querySelector("dialog#login[open]")) {
      return;
    }
    try {
      const status = await call("/admin/status");
      this.onStatus(status);
      if (this.visible) {
        this.render(status);
      }
    } catch (error) {
      if (this.visible) {
        byID("view-status").replaceChildren(element("p", { className: "error" }, error.message));
      }
    }
  }

  // Drains a backend server or returns it to service, by editing its cell of the table.
  async onClick(button) {
    const { server, state } = button.dataset;
    if (!server || !confirm(state === "leaving" ? `Give ${server} no new work?` : `Give ${server} work again?`)) {
      return;
    }
    button.disabled = true;
    const cell = { adapter: "backend_server:" + server, column: "state", value: state, read_at: this.revision };
    try {
      const answer = await sendEdit([cell], false);
      if (answer.kind !== "accepted") {
        alert(answer.message || answer.faults[0].remedy);
      }
    } catch (error) {
      alert(error.message);
    }
    this.poll();
  }

  render(status) {
    this.revision = status.revision;
    const servers = status.backend_servers || [];
    const loading = servers.reduce((sum, s) => sum + (s.loading || []).length, 0);
    const waiting = servers.reduce((sum, s) => sum + s.waiting, 0);
    const counts = status.requests;
    byID("view-status").replaceChildren(
      element("div", { className: "figures" },
        figure("rows", status.adapters), figure("revision", status.revision), figure("running here", counts.running),
        figure("queued here", counts.queued), figure("asking an owner", counts.asking), figure("waiting for the log", counts.intent),
        figure("waiting at owners", waiting), figure("loads on their way", loading)),
      ...refusals(status), ...marks(status),
      element("h2", {}, "Entry VMs"),
      cardTable(["Entry VM", "Failure domain", "State", "Revision", "Heard"], status.entry_vms.map((m) => memberRow(m, status.failure_domain))),
      ...otherDomains(status),
      element("h2", {}, "Backend servers of " + status.failure_domain),
      cardTable(["Backend server", "Serves", "Owner", "State", "Running", "Waiting", "Adapters loaded", "Loading", ""], servers.map(serverRow)));
  }
}

function figure(name, value) {
  return element("div", { className: "figure" }, element("b", {}, String(value)), element("span", { className: "quiet" }, name));
}

function refusals(status) {
  const counts = Object.entries(status.refusals || {});
  if (counts.length === 0) {
    return [];
  }
  return [element("h2", {}, "Refusals since the start"), cardTable(["Code", "Count"], counts)];
}

function marks(status) {
  const list = status.marks || [];
  if (list.length === 0) {
    return [];
  }
  const rows = list.map((m) => [
    m.fingerprint, mark(m.quarantined ? "quarantined" : "runs alone", false), m.crashes, m.backend_server || "–", Math.round(m.left_ms / 1000) + " s",
  ]);
  return [element("h2", {}, "Requests that ran at crashes"), cardTable(["Request", "State", "Crashes", "Backend server", "For"], rows)];
}

function otherDomains(status) {
  const reports = status.failure_domains || [];
  if (reports.length === 0) {
    return [];
  }
  const rows = reports.map((d) => [d.failure_domain, d.lowest_revision, mark(d.log_unreachable ? "unreachable" : "reachable", !d.log_unreachable)]);
  return [element("h2", {}, "Other failure domains"), cardTable(["Failure domain", "Lowest revision", "Log service"], rows)];
}

// Entry VMs of other failure domains send no heartbeats here.
function memberRow(m, own) {
  if (m.failure_domain !== own) {
    return [m.id, m.failure_domain, "elsewhere", "–", "–"];
  }
  const state = !m.alive ? "not heard" : m.leaving ? (m.self ? "not ready" : "leaving") : "alive";
  const lastHeartbeat = m.self ? "itself" : m.heard ? `${m.heard_ms_ago} ms ago` : "never";
  return [m.id, m.failure_domain, mark(state, state === "alive"), m.heard ? m.revision : "unknown", lastHeartbeat];
}

function serverRow(s) {
  const state = s.drained ? "drained" : s.leaving ? "leaving" : s.usable ? "usable" : "not usable";
  return [
    s.id, s.base || s.service || "", s.owner || "–", mark(state, state === "usable"),
    s.kind === "engine" ? `${s.running} of ${s.batch_max || 0}` : "–", s.kind === "engine" ? s.waiting : "–", adapterList(s), versions(s.loading),
    element("button", { dataset: { server: s.id, state: s.drained ? "live" : "leaving" } }, s.drained ? "Put back" : "Drain"),
  ];
}

function mark(text, good) {
  return element("span", { className: good ? "good" : "bad" }, text);
}

function adapterList(s) {
  if (s.kind !== "engine") {
    return "–";
  }
  const all = s.resident || [];
  const text = `${all.length} of ${s.slots || 0}`;
  return all.length === 0 ? text : `${text}: ${versions(all)}`;
}

function versions(list) {
  const all = (list || []).map((av) => av.adapter + "@" + av.version);
  if (all.length === 0) {
    return "–";
  }
  const omitted = all.length - MAX_ADAPTERS;
  return all.slice(0, MAX_ADAPTERS).join(", ") + (omitted > 0 ? ` and ${omitted} more` : "");
}
