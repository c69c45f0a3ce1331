// A stand-in for the platform's store: rows, transactions and change feeds in memory.
import http from "node:http";

export class Store {
  version = 0;
  /// Changes of rows, as `{ at, table, key, version }`.
  acks = [];
  rows = new Map();
  waiters = new Set();
  server = http.createServer((request, response) => {
    this.handle(request, response).catch(() => response.destroy());
  });

  listen() {
    return new Promise((resolve) => {
      this.server.listen(0, "127.0.0.1", () => {
        this.port = this.server.address().port;
        resolve();
      });
    });
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  put(table, key, value) {
    this.apply([{ table, part: "", key, value: Buffer.from(JSON.stringify(value)) }], []);
  }

  remove(table, key) {
    this.apply([], [{ table, part: "", key }]);
  }

  apply(writes, removals) {
    this.version += 1;
    const changed = [
      ...writes.map(({ table, part = "", key, value }) => ({ table, part, key, value })),
      ...removals.map(({ table, part = "", key }) => ({ table, part, key, value: undefined })),
    ];
    for (const row of changed) {
      this.rows.set(JSON.stringify([row.table, row.part, row.key]), { ...row, ver: this.version });
    }
    for (const wake of [...this.waiters]) wake();
  }

  async handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const url = new URL(request.url, "http://store");
    const query = url.searchParams;
    const table = query.get("table") ?? "";
    switch (url.pathname) {
      case "/rows-get": {
        const part = query.get("part") ?? "";
        const from = query.get("from") ?? "";
        const target = query.get("target") ?? "";
        const limit = Math.min(500, Number(query.get("limit") ?? 500));
        const found = [...this.rows.values()]
          .filter((row) => row.table === table && row.part === part && row.value !== undefined)
          .filter(({ key }) => key >= from && (target === "" || key < target))
          .sort((left, right) => (left.key < right.key ? -1 : 1));
        const rows = found.slice(0, limit).map(encodeRow);
        this.send(response, 200, { rows, truncated: found.length > limit });
        return;
      }
      case "/rows-feed":
        await this.feed(table, query, response);
        return;
      case "/rows-tx": {
        const transaction = JSON.parse(Buffer.concat(chunks).toString());
        const { expected_rev: expected = [], writes = [], remove = [] } = transaction;
        const current = expected.map(({ table: name, part = "", key }) => {
          const row = this.rows.get(JSON.stringify([name, part, key]));
          return row ?? { table: name, part, key, value: undefined, ver: 0 };
        });
        const versionOf = (row) => (row.value === undefined ? 0 : row.ver);
        if (current.some((row, index) => versionOf(row) !== expected[index].ver)) {
          this.send(response, 412, { rows: current.map(encodeRow) });
          return;
        }
        this.apply(
          writes.map((row) => ({ ...row, value: Buffer.from(row.value, "base64") })),
          remove,
        );
        this.send(response, 200, {});
        return;
      }
      default:
        this.send(response, 404, {});
    }
  }

  async feed(table, query, response) {
    const after = Number(query.get("after_rev"));
    const deadline = performance.now() + Math.min(30_000, Number(query.get("wait_ms")));
    for (;;) {
      const rows = [...this.rows.values()]
        .filter((row) => row.table === table && row.ver > after)
        .sort((left, right) => left.ver - right.ver);
      const remaining = deadline - performance.now();
      if (response.destroyed) return;
      if (rows.length > 0 || remaining <= 0) {
        this.send(response, 200, { rows: rows.map(encodeRow) });
        return;
      }
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.waiters.delete(wake);
          response.off("close", wake);
          resolve();
        };
        const timer = setTimeout(wake, remaining);
        this.waiters.add(wake);
        response.once("close", wake);
      });
    }
  }

  send(response, status, body) {
    const text = JSON.stringify({
      ...body,
      ver: this.version,
      now_ms: Math.round(performance.now()),
    });
    response
      .writeHead(status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
      })
      .end(text);
  }
}

function encodeRow({ table, part, key, value, ver }) {
  return value === undefined
    ? { table, part, key, ver, removed: true }
    : { table, part, key, ver, value: value.toString("base64") };
}
