// Client of the admin API. The operator's token is stored only in this module's memory.

let token = "";

export function setToken(text) {
  token = text;
}

// A failed call. status is the HTTP status, or 0 without a response; the message names
// the remedy.
export class CallError extends Error {
  constructor(status, message) {
    super(message);
    this.status = status;
  }
}

export async function call(path, body) {
  const options = { headers: {}, cache: "no-store", credentials: "omit" };
  if (token) {
    options.headers.Authorization = "Bearer " + token;
  }
  if (body !== undefined) {
    options.method = "POST";
    options.headers["Content-Type"] = "application/json";
    options.body = JSON.stringify(body);
  }
  let response;
  try {
    response = await fetch(path, options);
  } catch {
    throw new CallError(0, "The entry VM gave no answer: check that it runs, or use the page of another.");
  }
  const answer = await response.json().catch(() => ({}));
  if (!response.ok) {
    throw new CallError(response.status, answer.error || "status " + response.status);
  }
  return answer;
}

// Sends cells as one edit. If no response arrives, the error says so: the edit may still
// have been applied.
export function sendEdit(cells, dryRun) {
  return call("/admin/edits", { cells, dry_run: dryRun });
}
