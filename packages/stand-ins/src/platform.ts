//! The stand-in platform: table service, object store, weight store and the
//! lagging list of VMs, with rate limits and faults switched at run time.
import { setTimeout as delay } from "node:timers/promises";
import { ok, serveJson, type Answer, type Handler, type RunningServer } from "./json-server.js";
import { MemoryTable, type Condition, type Write } from "./memory-table.js";

export interface PlatformOptions {
  readonly port: number;
  readonly writesPerSecond: number;
  readonly readsPerSecond: number;
  readonly weightSeconds: number;
}

interface Faults {
  outage: boolean;
  slowMilliseconds: number;
  answersToLose: number;
}

const mostWeightLoads = 2;

/// Starts a platform on loopback.
export async function startPlatform(options: PlatformOptions): Promise<RunningServer> {
  const platform = new Platform(options);
  return serveJson(options.port, platform.routes());
}

class Platform {
  private readonly table = new MemoryTable();
  private readonly objects = new Map<string, unknown>();
  private machines: { revision: number; machines: unknown[] } = { revision: 1, machines: [] };
  private readonly faults: Faults = { outage: false, slowMilliseconds: 0, answersToLose: 0 };
  private readonly counts = { reads: 0, writes: 0, refused: 0 };
  private readonly writes: RateLimit;
  private readonly reads: RateLimit;
  private weightLoads = 0;

  constructor(private readonly options: PlatformOptions) {
    this.writes = new RateLimit(options.writesPerSecond);
    this.reads = new RateLimit(options.readsPerSecond);
  }

  routes(): Map<string, Handler> {
    return new Map<string, Handler>([
      ["POST /table/read", this.reading((body) => this.readRows(body as { keys: string[] }))],
      ["POST /table/scan", this.reading((body) => this.scanRows(body))],
      ["POST /table/transact", this.writing((body) => this.transact(body))],
      ["GET /machines", this.reading(() => ok(this.machines))],
      ["GET *", this.reading((_body, url) => this.getObjectOrWeights(url))],
      ["PUT *", this.writing((body, url) => this.putObject(url, body))],
      ["GET /record", () => ok({ counts: this.counts, rows: this.table.scan("", "", 100_000) })],
      ["POST /control", (body) => this.control(body as Partial<Faults> & { machines?: unknown[] })],
    ]);
  }

  private reading(handler: Handler): Handler {
    return this.faulty(this.reads, handler, () => {
      this.counts.reads += 1;
    });
  }

  private writing(handler: Handler): Handler {
    return this.faulty(this.writes, handler, () => {
      this.counts.writes += 1;
    });
  }

  // An answer is lost only after its request has taken effect.
  private faulty(limit: RateLimit, handler: Handler, count: () => void): Handler {
    return async (body, url, request, response) => {
      if (this.faults.outage) return { status: 503, body: {} };
      if (!limit.take()) {
        this.counts.refused += 1;
        return { status: 429, body: {} };
      }
      count();
      if (this.faults.slowMilliseconds > 0) await delay(this.faults.slowMilliseconds);
      const answer = await handler(body, url, request, response);
      if (limit === this.writes && this.faults.answersToLose > 0) {
        this.faults.answersToLose -= 1;
        request.socket.destroy();
        return undefined;
      }
      return answer;
    };
  }

  private readRows(body: { keys: string[] }): Answer {
    return ok({ rows: body.keys.map((key) => this.table.read(key) ?? null) });
  }

  private scanRows(body: unknown): Answer {
    const { prefix, after, limit } = body as { prefix: string; after: string; limit: number };
    return ok({ rows: this.table.scan(prefix, after, limit) });
  }

  private transact(body: unknown): Answer {
    const { conditions, writes } = body as { conditions: Condition[]; writes: Write[] };
    const conflicts = this.table.transact(conditions, writes);
    return conflicts.length > 0 ? { status: 409, body: { conflicts } } : ok({});
  }

  private async getObjectOrWeights(url: URL): Promise<Answer> {
    if (url.pathname.startsWith("/weights/")) return this.sendWeights();
    const object = this.objects.get(url.pathname);
    return object === undefined ? { status: 404, body: {} } : ok(object);
  }

  private putObject(url: URL, body: unknown): Answer {
    this.objects.set(url.pathname, body);
    return ok({});
  }

  private async sendWeights(): Promise<Answer> {
    if (this.weightLoads >= mostWeightLoads) return { status: 429, body: {} };
    this.weightLoads += 1;
    await delay(this.options.weightSeconds * 1_000);
    this.weightLoads -= 1;
    return ok({});
  }

  private control(body: Partial<Faults> & { machines?: unknown[] }): Answer {
    const { machines, ...faults } = body;
    Object.assign(this.faults, faults);
    if (machines !== undefined) this.machines = { revision: this.machines.revision + 1, machines };
    return ok({});
  }
}

class RateLimit {
  private tokens: number;
  private last = performance.now();

  constructor(private readonly perSecond: number) {
    this.tokens = perSecond;
  }

  take(): boolean {
    const now = performance.now();
    this.tokens = Math.min(
      this.perSecond,
      this.tokens + ((now - this.last) * this.perSecond) / 1_000,
    );
    this.last = now;
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
