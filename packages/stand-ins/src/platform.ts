//! A test double of the platform: table service, object store, weight store and list of
//! VMs. The list lags behind the VMs' real state, since only `POST /control` changes it.
//! Reads and writes have rate limits; `POST /control` also injects faults at run time.
import { setTimeout as delay } from "node:timers/promises";
import {
  ok,
  serveJson,
  type JsonResponse,
  type Handler,
  type RunningServer,
} from "./json-server.js";
import { MemoryTable, type Condition, type Write } from "./memory-table.js";

export interface PlatformOptions {
  readonly port: number;
  readonly writesPerSecond: number;
  readonly readsPerSecond: number;
  readonly weightLoadSeconds: number;
}

interface Faults {
  outage: boolean;
  slowMilliseconds: number;
  answersToLose: number;
}

const maximumConcurrentWeightLoads = 2;

/// Starts a platform on the loopback interface.
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
  private readonly writeLimit: TokenBucket;
  private readonly readLimit: TokenBucket;
  private weightLoadsInProgress = 0;

  constructor(private readonly options: PlatformOptions) {
    this.writeLimit = new TokenBucket(options.writesPerSecond);
    this.readLimit = new TokenBucket(options.readsPerSecond);
  }

  routes(): Map<string, Handler> {
    return new Map<string, Handler>([
      ["POST /table/read", this.limitReads((body) => this.readRows(body as { keys: string[] }))],
      ["POST /table/scan", this.limitReads((body) => this.scanRows(body))],
      ["POST /table/transact", this.limitWrites((body) => this.transact(body))],
      ["GET /machines", this.limitReads(() => ok(this.machines))],
      ["GET *", this.limitReads((_body, url) => this.getObjectOrWeights(url))],
      ["PUT *", this.limitWrites((body, url) => this.putObject(url, body))],
      ["GET /record", () => ok({ counts: this.counts, rows: this.table.scan("", "", 100_000) })],
      ["POST /control", (body) => this.control(body as Partial<Faults> & { machines?: unknown[] })],
    ]);
  }

  private limitReads(handler: Handler): Handler {
    return this.withLimitAndFaults(this.readLimit, handler, () => {
      this.counts.reads += 1;
    });
  }

  private limitWrites(handler: Handler): Handler {
    return this.withLimitAndFaults(this.writeLimit, handler, () => {
      this.counts.writes += 1;
    });
  }

  // A response is dropped only after its request has taken effect.
  private withLimitAndFaults(limit: TokenBucket, handler: Handler, count: () => void): Handler {
    return async (body, url, request, response) => {
      if (this.faults.outage) return { status: 503, body: {} };
      if (!limit.tryTake()) {
        this.counts.refused += 1;
        return { status: 429, body: {} };
      }
      count();
      if (this.faults.slowMilliseconds > 0) await delay(this.faults.slowMilliseconds);
      const result = await handler(body, url, request, response);
      if (limit === this.writeLimit && this.faults.answersToLose > 0) {
        this.faults.answersToLose -= 1;
        request.socket.destroy();
        return undefined;
      }
      return result;
    };
  }

  private readRows(body: { keys: string[] }): JsonResponse {
    return ok({ rows: body.keys.map((key) => this.table.read(key) ?? null) });
  }

  private scanRows(body: unknown): JsonResponse {
    const { prefix, after, limit } = body as { prefix: string; after: string; limit: number };
    return ok({ rows: this.table.scan(prefix, after, limit) });
  }

  private transact(body: unknown): JsonResponse {
    const { conditions, writes } = body as { conditions: Condition[]; writes: Write[] };
    const conflicts = this.table.transact(conditions, writes);
    return conflicts.length > 0 ? { status: 409, body: { conflicts } } : ok({});
  }

  private async getObjectOrWeights(url: URL): Promise<JsonResponse> {
    if (url.pathname.startsWith("/weights/")) return this.sendWeights();
    const object = this.objects.get(url.pathname);
    return object === undefined ? { status: 404, body: {} } : ok(object);
  }

  private putObject(url: URL, body: unknown): JsonResponse {
    this.objects.set(url.pathname, body);
    return ok({});
  }

  private async sendWeights(): Promise<JsonResponse> {
    if (this.weightLoadsInProgress >= maximumConcurrentWeightLoads)
      return { status: 429, body: {} };
    this.weightLoadsInProgress += 1;
    await delay(this.options.weightLoadSeconds * 1_000);
    this.weightLoadsInProgress -= 1;
    return ok({});
  }

  private control(body: Partial<Faults> & { machines?: unknown[] }): JsonResponse {
    const { machines, ...faults } = body;
    Object.assign(this.faults, faults);
    if (machines !== undefined) this.machines = { revision: this.machines.revision + 1, machines };
    return ok({});
  }
}

class TokenBucket {
  private tokens: number;
  private lastRefill = performance.now();

  constructor(private readonly ratePerSecond: number) {
    this.tokens = ratePerSecond;
  }

  tryTake(): boolean {
    const now = performance.now();
    this.tokens = Math.min(
      this.ratePerSecond,
      this.tokens + ((now - this.lastRefill) * this.ratePerSecond) / 1_000,
    );
    this.lastRefill = now;
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
