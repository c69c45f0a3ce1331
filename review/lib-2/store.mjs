// A stand-in for the platform's store: rows, the feed of a table and transactions, in memory.
import http from "node:http";

export class Store {
  // "up": calls are served. "silent": calls get no answer, and nothing is done.
  mode = "up";
  #version = 0;
  #rows = new Map();
  #waiters = new Set();
  #server = http.createServer((request, response) => {
    this.#handle(request, response).catch(() => response.destroy());
  });

  listen() {
    return new Promise((resolve) => {
      this.#server.listen(0, "127.0.0.1", () => resolve(this.#server.address().port));
    });
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  setMode(mode) {
    this.mode = mode;
    this.#wake();
  }

  put(table, key, value) {
    this.#set({ table, key, value: Buffer.from(JSON.stringify(value)).toString("base64") });
  }

  remove(table, key) {
    this.#set({ table, key, removed: true });
  }

  #set(row) {
    this.#version += 1;
    this.#rows.set(`${row.table}/${row.key}`, { part: "", ...row, ver: this.#version });
    this.#wake();
  }

  #wake() {
    for (const wake of [...this.#waiters]) wake();
  }

  #list(table, after) {
    return [...this.#rows.values()]
      .filter((row) => row.table === table && row.ver > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
  }

  async #handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    if (this.mode === "silent") return;
    const url = new URL(request.url, "http://store");
    const table = url.searchParams.get("table") ?? "";
    const now_ms = Math.round(performance.now());
    const send = (status, body) => {
      if (this.mode === "silent") return;
      response.writeHead(status, { "content-type": "application/json" });
      response.end(JSON.stringify(body));
    };
    switch (url.pathname) {
      case "/rows-get": {
        const rows = this.#list(table, -1).filter(({ removed }) => !removed);
        send(200, { rows, truncated: false, ver: this.#version, now_ms });
        return;
      }
      case "/rows-feed": {
        const after = Number(url.searchParams.get("after_rev"));
        const deadline = performance.now() + Number(url.searchParams.get("wait_ms"));
        for (;;) {
          const rows = this.#list(table, after).sort((left, right) => left.ver - right.ver);
          const left = deadline - performance.now();
          if (this.mode === "silent") return;
          if (rows.length > 0 || left <= 0) {
            send(200, { rows, ver: this.#version, now_ms });
            return;
          }
          await new Promise((resolve) => {
            const wake = () => {
              clearTimeout(timer);
              this.#waiters.delete(wake);
              resolve();
            };
            const timer = setTimeout(wake, left);
            this.#waiters.add(wake);
          });
          if (response.destroyed) return;
        }
      }
      case "/rows-tx": {
        const { expected_rev = [], writes = [], remove = [] } = JSON.parse(Buffer.concat(chunks));
        const stale = expected_rev.filter(({ table, key, ver }) => {
          const row = this.#rows.get(`${table}/${key}`);
          return (row === undefined || row.removed ? 0 : row.ver) !== ver;
        });
        if (stale.length > 0) {
          send(412, { rows: stale, ver: this.#version, now_ms });
          return;
        }
        for (const { table, key, value } of writes) this.#set({ table, key, value });
        for (const { table, key } of remove) this.#set({ table, key, removed: true });
        send(200, { ver: this.#version, now_ms });
        return;
      }
      default:
        send(404, {});
    }
  }
}
