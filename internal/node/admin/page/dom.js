// Helpers that build DOM elements. Texts are never parsed as HTML.

export function byID(id) {
  return document.getElementById(id);
}

export function element(name, properties, ...children) {
  const node = document.createElement(name);
  for (const [key, value] of Object.entries(properties || {})) {
    if (key === "dataset") {
      Object.assign(node.dataset, value);
    } else if (key in node) {
      node[key] = value;
    } else {
      node.setAttribute(key, value);
    }
  }
  node.append(...children.filter((child) => child !== null && child !== undefined));
  return node;
}

export function formatTime(millis) {
  return millis ? new Date(millis).toISOString().replace("T", " ").slice(0, 19) + " UTC" : "";
}

// Builds a table whose rows are shown as cards on narrow screens.
export function cardTable(headings, rows) {
  const head = element("tr", {}, ...headings.map((h) => element("th", { scope: "col" }, h)));
  const body = rows.map((cells) => element("tr", {}, ...cells.map((cell, i) => cellOf(cell, i, headings[i]))));
  return element("div", { className: "scroll cards" },
    element("table", {}, element("thead", {}, head), element("tbody", {}, ...body)));
}

function cellOf(cell, index, heading) {
  const content = cell instanceof Node ? cell : String(cell ?? "");
  if (index === 0) {
    return element("th", { scope: "row" }, content);
  }
  return element("td", { dataset: { label: heading } }, content);
}
