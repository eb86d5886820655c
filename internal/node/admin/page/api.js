// Calls the admin API. The operator's token is kept in this module's memory only.

let token = "";

export function setToken(text) {
  token = text;
}

// An answer that is not a success. Its message names the remedy.
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

// Sends cells as one edit. Lost answers are reported as such: the edit may be in
// force.
export function sendEdit(cells, dryRun) {
  return call("/admin/edits", { cells, dry_run: dryRun });
}
