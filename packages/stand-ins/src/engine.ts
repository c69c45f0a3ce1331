//! The stand-in model engine: holds a layer range, batches continuously and keeps
//! a record of every layer it ran, for the judge.
import type http from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { ok, serveJson, type Answer, type Handler, type RunningServer } from "./json-server.js";
import { PrefixCache } from "./prefix-cache.js";
import { SequenceTable, type StepRequest } from "./sequence-table.js";
import { tokenize } from "./model.js";

export interface EngineOptions {
  readonly name: string;
  readonly port: number;
  readonly firstLayer: number;
  readonly endLayer: number;
  readonly layers: number;
  readonly tokensPerSecond: number;
  readonly checksFencing: boolean;
  readonly version: string;
  readonly platformUrl?: string | undefined;
  readonly keepsRecord: boolean;
  /// Called for each step just before its outputs are written.
  readonly onOutputs?: (sequence: string, from: number) => void;
}

interface Queued {
  readonly step: StepRequest;
  readonly connection: Connection;
}

interface Connection {
  readonly response: http.ServerResponse;
  open: number;
}

const lifeSignInterval = 200;
const reportInterval = 500;
const largestBatch = 512;
// Positions of a prompt run side by side, several in the time of one new token.
const promptSpeedup = 8;
const mostPrefixes = 2_048;
const keptEvents = 256;
const weightRetryPause = 200;

/// Starts an engine on loopback.
export async function startEngine(options: EngineOptions): Promise<RunningServer> {
  const engine = new Engine(options);
  const server = await serveJson(options.port, engine.routes(), new Set(["POST /v1/steps"]));
  const stop = engine.start();
  return {
    port: server.port,
    close: async () => {
      stop();
      await server.close();
    },
  };
}

class Engine {
  private readonly sequences: SequenceTable;
  private readonly prefixes = new PrefixCache(mostPrefixes, keptEvents);
  private readonly connections = new Set<Connection>();
  private queue: Queued[] = [];
  private working = false;
  private stopped = false;
  private leaving = false;
  private slowness = 1;
  private lossyEvents = false;
  private report = { queuedTokens: 0, openSequences: 0, tokensPerSecond: 0, leaving: false };
  private doneTokens = 0;
  private version: string | null;
  private loading: string | null = null;
  private highestFencingNumber = 0;
  private readonly orders: { fencingNumber: number; version: string; taken: boolean }[] = [];

  constructor(private readonly options: EngineOptions) {
    this.sequences = new SequenceTable(options);
    this.version = options.version;
  }

  routes(): Map<string, Handler> {
    return new Map<string, Handler>([
      [
        "POST /v1/steps",
        (_body, _url, request, response) => {
          this.takeSteps(request, response);
        },
      ],
      ["POST /v1/tokenize", (body) => ok({ tokens: tokenize((body as { text: string }).text) })],
      ["POST /v1/cache/export", (body) => this.exportCache(body as { sequence: string })],
      ["POST /v1/cache/import", (body) => this.importCache(body)],
      ["GET /v1/load", () => ok(this.report)],
      ["GET /v1/state", () => ok({ version: this.version, loading: this.loading })],
      ["GET /v1/cache-events", (_body, url) => this.cacheEvents(url)],
      [
        "POST /v1/orders",
        (body) => this.takeOrder(body as { fencingNumber: number; version: string }),
      ],
      ["GET /record", () => ok({ runs: this.sequences.record, orders: this.orders })],
      ["POST /control", (body) => this.control(body as Record<string, unknown>)],
    ]);
  }

  start(): () => void {
    const lifeSigns = setInterval(() => {
      for (const connection of this.connections) {
        if (connection.open > 0) connection.response.write('{"alive":true}\n');
      }
    }, lifeSignInterval);
    const reports = setInterval(() => {
      this.writeReport();
    }, reportInterval);
    return () => {
      this.stopped = true;
      clearInterval(lifeSigns);
      clearInterval(reports);
    };
  }

  private takeSteps(request: http.IncomingMessage, response: http.ServerResponse): undefined {
    const connection: Connection = { response, open: 0 };
    this.connections.add(connection);
    response.on("close", () => {
      this.connections.delete(connection);
    });
    response.on("error", () => undefined);
    request.on("error", () => undefined);
    response.writeHead(200, { "content-type": "application/x-ndjson" });
    response.write('{"alive":true}\n');
    let rest = "";
    request.setEncoding("utf8");
    request.on("data", (chunk: string) => {
      const lines = (rest + chunk).split("\n");
      rest = lines.pop() ?? "";
      for (const line of lines) this.takeLine(connection, line);
    });
    return undefined;
  }

  private takeLine(connection: Connection, line: string): void {
    const message = JSON.parse(line) as { steps?: StepRequest[]; close?: string[] };
    for (const sequence of message.close ?? []) this.sequences.close(sequence);
    for (const step of message.steps ?? []) {
      connection.open += 1;
      this.queue.push({ step, connection });
    }
    if (!this.working) void this.work();
  }

  // Continuous batching: whatever has arrived makes up the next batch, the most
  // urgent first.
  private async work(): Promise<void> {
    this.working = true;
    await new Promise((resolve) => setImmediate(resolve));
    while (this.queue.length > 0 && !this.stopped) {
      const batch = this.takeBatch();
      const tokens = batch.reduce((sum, { step }) => sum + this.costOf(step), 0);
      const milliseconds = (tokens * 1_000 * this.slowness) / this.options.tokensPerSecond;
      if (milliseconds >= 1) await delay(milliseconds);
      this.answer(batch);
      this.doneTokens += tokens;
    }
    this.working = false;
  }

  private takeBatch(): Queued[] {
    this.queue.sort((left, right) => right.step.priority - left.step.priority);
    return this.queue.splice(0, largestBatch);
  }

  private costOf(step: StepRequest): number {
    const cached = step.prefix === undefined ? 0 : this.prefixes.cachedTokens(step.prefix);
    const positions = Math.max(1, step.inputs.length - cached);
    return positions === 1 ? 1 : Math.ceil(positions / promptSpeedup);
  }

  private answer(batch: readonly Queued[]): void {
    const results = new Map<Connection, unknown[]>();
    for (const { step, connection } of batch) {
      const result = this.sequences.run(step);
      if (step.prefix !== undefined && !this.lossyEvents) this.prefixes.store(step.prefix);
      connection.open -= 1;
      this.options.onOutputs?.(step.sequence, step.from);
      results.set(connection, [...(results.get(connection) ?? []), result]);
    }
    for (const [connection, list] of results) {
      connection.response.write(`${JSON.stringify({ results: list })}\n`);
    }
  }

  private writeReport(): void {
    const queuedTokens = this.queue.reduce((sum, { step }) => sum + this.costOf(step), 0);
    const tokensPerSecond = (this.doneTokens * 1_000) / reportInterval;
    this.doneTokens = 0;
    this.report = {
      queuedTokens,
      openSequences: this.sequences.size,
      tokensPerSecond,
      leaving: this.leaving,
    };
  }

  private exportCache(body: { sequence: string }): Answer {
    const exported = this.sequences.export(body.sequence);
    return exported === undefined ? { status: 404, body: {} } : ok(exported);
  }

  private importCache(body: unknown): Answer {
    this.sequences.import(body as { sequence: string; positions: number; cache: string[] });
    return ok({});
  }

  private cacheEvents(url: URL): Answer {
    return ok({ events: this.prefixes.eventsAfter(Number(url.searchParams.get("after") ?? 0)) });
  }

  private takeOrder(order: { fencingNumber: number; version: string }): Answer {
    const stale = order.fencingNumber < this.highestFencingNumber;
    const taken = !(stale && this.options.checksFencing);
    this.orders.push({ ...order, taken });
    if (!taken) return { status: 409, body: { highest: this.highestFencingNumber } };
    this.highestFencingNumber = Math.max(this.highestFencingNumber, order.fencingNumber);
    if (this.version !== order.version && this.loading !== order.version)
      void this.load(order.version);
    return ok({});
  }

  private async load(version: string): Promise<void> {
    this.loading = version;
    while (this.options.platformUrl !== undefined && !this.stopped) {
      const url = `${this.options.platformUrl}/weights/${encodeURIComponent(version)}`;
      const answer = await fetch(url).catch(() => undefined);
      if (answer?.status === 200) break;
      await delay(weightRetryPause);
    }
    if (this.loading !== version) return;
    this.version = version;
    this.loading = null;
  }

  private control(body: Record<string, unknown>): Answer {
    if (typeof body.leaving === "boolean") this.leaving = body.leaving;
    if (typeof body.slowness === "number") this.slowness = body.slowness;
    if (typeof body.lossyEvents === "boolean") this.lossyEvents = body.lossyEvents;
    if (body.forgetSequences === true) this.sequences.forgetAll();
    this.report = { ...this.report, leaving: this.leaving };
    return ok({});
  }
}
