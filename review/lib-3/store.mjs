// A stand-in of the platform's metadata store: rows in tables, with the feed of their changes.
import http from "node:http";

const maximumRowsPerPage = 500;

/// How the store treats the calls of entry VMs. The operator and the replicas use `put` and `remove`,
/// which are not affected.
export const StoreMode = {
  Healthy: "healthy",
  /// Takes calls and never answers them.
  Silent: "silent",
};

export class Store {
  mode = StoreMode.Healthy;
  version = 0;
  rows = new Map();
  waiters = new Set();
  /// The polls of the feed so far: table, longest wait and the time of their beginning.
  polls = [];
  server = http.createServer((request, response) => {
    void this.handle(request, response).catch(() => response.destroy());
  });

  async listen() {
    await new Promise((resolve) => this.server.listen(0, "127.0.0.1", resolve));
    return this.server.address().port;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  put(table, key, value) {
    this.version += 1;
    const text = typeof value === "string" ? value : JSON.stringify(value);
    const row = { table, part: "", key, value: Buffer.from(text).toString("base64") };
    this.rows.set(`${table}/${key}`, { ...row, ver: this.version });
    this.wake();
  }

  remove(table, key) {
    if (this.rows.get(`${table}/${key}`)?.value === undefined) return;
    this.version += 1;
    this.rows.set(`${table}/${key}`, { table, part: "", key, removed: true, ver: this.version });
    this.wake();
  }

  list(table, after) {
    return [...this.rows.values()]
      .filter((row) => row.table === table && row.ver > after)
      .sort((left, right) => left.ver - right.ver);
  }

  wake() {
    for (const wake of [...this.waiters]) wake();
  }

  async handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    if (this.mode === StoreMode.Silent) return;
    const url = new URL(request.url, "http://store");
    const query = url.searchParams;
    const table = query.get("table") ?? "";
    switch (url.pathname) {
      case "/rows-get": {
        const from = query.get("from") ?? "";
        const limit = Math.min(
          maximumRowsPerPage,
          Number(query.get("limit") ?? maximumRowsPerPage),
        );
        const found = this.list(table, -1)
          .filter((row) => row.removed !== true && row.key >= from)
          .sort((left, right) => (left.key < right.key ? -1 : 1));
        this.send(response, { rows: found.slice(0, limit), truncated: found.length > limit });
        return;
      }
      case "/rows-feed": {
        const after = Number(query.get("after_rev"));
        const wait = Number(query.get("wait_ms") ?? 0);
        this.polls.push({ table, wait, at: performance.now() });
        const end = performance.now() + wait;
        while (this.list(table, after).length === 0 && performance.now() < end) {
          if (response.destroyed) return;
          await this.waitForChange(end - performance.now());
        }
        if (this.mode === StoreMode.Silent) return;
        this.send(response, { rows: this.list(table, after) });
        return;
      }
      case "/rows-tx": {
        const { writes = [], remove = [] } = JSON.parse(Buffer.concat(chunks).toString());
        for (const { table: changed, key, value } of writes)
          this.put(changed, key, Buffer.from(value, "base64").toString());
        for (const { table: changed, key } of remove) this.remove(changed, key);
        this.send(response, {});
        return;
      }
      default:
        response.writeHead(404).end();
    }
  }

  waitForChange(timeout) {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, timeout);
      this.waiters.add(wake);
    });
  }

  send(response, body) {
    const text = JSON.stringify({
      ...body,
      ver: this.version,
      now_ms: Math.round(performance.now()),
    });
    response.writeHead(200, { "content-type": "application/json" }).end(text);
  }
}
