//! A test double of a model engine, served over HTTP. It holds a range of layers, runs
//! steps with continuous batching, and records every run so that tests can check which
//! layers ran for which positions.
import type http from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import {
  ok,
  serveJson,
  type JsonResponse,
  type Handler,
  type RunningServer,
} from "./json-server.js";
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
  readonly shouldRecordRuns: boolean;
  /// Called for each step before its outputs are written.
  readonly onOutputs?: (sequence: string, from: number) => void;
}

interface QueuedStep {
  readonly step: StepRequest;
  readonly connection: Connection;
}

interface Connection {
  readonly response: http.ServerResponse;
  openSteps: number;
}

const heartbeatIntervalMilliseconds = 200;
const reportIntervalMilliseconds = 500;
const maximumBatchSteps = 512;
// Prompt positions run in parallel: this many take the time of one generated token.
const prefillSpeedup = 8;
const maximumPrefixKeys = 2_048;
const maximumCacheEvents = 256;
const weightRetryDelayMilliseconds = 200;

/// Starts an engine on the loopback interface.
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
  private readonly prefixes = new PrefixCache(maximumPrefixKeys, maximumCacheEvents);
  private readonly connections = new Set<Connection>();
  private queue: QueuedStep[] = [];
  private isProcessing = false;
  private isStopped = false;
  private isLeaving = false;
  private slowness = 1;
  // While true, prefixes are neither cached nor announced in cache events.
  private hasLossyEvents = false;
  private report = { queuedTokens: 0, openSequences: 0, tokensPerSecond: 0, leaving: false };
  private completedTokens = 0;
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
          this.receiveSteps(request, response);
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
        (body) => this.handleOrder(body as { fencingNumber: number; version: string }),
      ],
      ["GET /record", () => ok({ runs: this.sequences.recordedRuns, orders: this.orders })],
      ["POST /control", (body) => this.control(body as Record<string, unknown>)],
    ]);
  }

  start(): () => void {
    const heartbeatTimer = setInterval(() => {
      for (const connection of this.connections) {
        if (connection.openSteps > 0) connection.response.write('{"alive":true}\n');
      }
    }, heartbeatIntervalMilliseconds);
    const reportTimer = setInterval(() => {
      this.updateReport();
    }, reportIntervalMilliseconds);
    return () => {
      this.isStopped = true;
      clearInterval(heartbeatTimer);
      clearInterval(reportTimer);
    };
  }

  private receiveSteps(request: http.IncomingMessage, response: http.ServerResponse): undefined {
    const connection: Connection = { response, openSteps: 0 };
    this.connections.add(connection);
    response.on("close", () => {
      this.connections.delete(connection);
    });
    response.on("error", () => undefined);
    request.on("error", () => undefined);
    response.writeHead(200, { "content-type": "application/x-ndjson" });
    response.write('{"alive":true}\n');
    let incompleteLine = "";
    request.setEncoding("utf8");
    request.on("data", (chunk: string) => {
      const lines = (incompleteLine + chunk).split("\n");
      incompleteLine = lines.pop() ?? "";
      for (const line of lines) this.receiveLine(connection, line);
    });
    return undefined;
  }

  private receiveLine(connection: Connection, line: string): void {
    const message = JSON.parse(line) as { steps?: StepRequest[]; close?: string[] };
    for (const sequence of message.close ?? []) this.sequences.close(sequence);
    for (const step of message.steps ?? []) {
      connection.openSteps += 1;
      this.queue.push({ step, connection });
    }
    if (!this.isProcessing) void this.processQueue();
  }

  // Continuous batching: each batch consists of the steps that have arrived by then,
  // in descending order of priority.
  private async processQueue(): Promise<void> {
    this.isProcessing = true;
    await new Promise((resolve) => setImmediate(resolve));
    while (this.queue.length > 0 && !this.isStopped) {
      const batch = this.dequeueBatch();
      const tokens = batch.reduce((sum, { step }) => sum + this.computeTokenCost(step), 0);
      const milliseconds = (tokens * 1_000 * this.slowness) / this.options.tokensPerSecond;
      if (milliseconds >= 1) await delay(milliseconds);
      this.runBatch(batch);
      this.completedTokens += tokens;
    }
    this.isProcessing = false;
  }

  private dequeueBatch(): QueuedStep[] {
    this.queue.sort((left, right) => right.step.priority - left.step.priority);
    return this.queue.splice(0, maximumBatchSteps);
  }

  private computeTokenCost(step: StepRequest): number {
    const cachedTokens =
      step.prefix === undefined ? 0 : this.prefixes.countCachedTokens(step.prefix);
    const positions = Math.max(1, step.inputs.length - cachedTokens);
    return positions === 1 ? 1 : Math.ceil(positions / prefillSpeedup);
  }

  private runBatch(batch: readonly QueuedStep[]): void {
    const results = new Map<Connection, unknown[]>();
    for (const { step, connection } of batch) {
      const result = this.sequences.run(step);
      if (step.prefix !== undefined && !this.hasLossyEvents) this.prefixes.store(step.prefix);
      connection.openSteps -= 1;
      this.options.onOutputs?.(step.sequence, step.from);
      results.set(connection, [...(results.get(connection) ?? []), result]);
    }
    for (const [connection, list] of results) {
      connection.response.write(`${JSON.stringify({ results: list })}\n`);
    }
  }

  private updateReport(): void {
    const queuedTokens = this.queue.reduce((sum, { step }) => sum + this.computeTokenCost(step), 0);
    const tokensPerSecond = (this.completedTokens * 1_000) / reportIntervalMilliseconds;
    this.completedTokens = 0;
    this.report = {
      queuedTokens,
      openSequences: this.sequences.size,
      tokensPerSecond,
      leaving: this.isLeaving,
    };
  }

  private exportCache(body: { sequence: string }): JsonResponse {
    const exported = this.sequences.export(body.sequence);
    return exported === undefined ? { status: 404, body: {} } : ok(exported);
  }

  private importCache(body: unknown): JsonResponse {
    this.sequences.import(body as { sequence: string; positions: number; cache: string[] });
    return ok({});
  }

  private cacheEvents(url: URL): JsonResponse {
    return ok({ events: this.prefixes.getEventsAfter(Number(url.searchParams.get("after") ?? 0)) });
  }

  private handleOrder(order: { fencingNumber: number; version: string }): JsonResponse {
    const isStale = order.fencingNumber < this.highestFencingNumber;
    const taken = !(isStale && this.options.checksFencing);
    this.orders.push({ ...order, taken });
    if (!taken) return { status: 409, body: { highest: this.highestFencingNumber } };
    this.highestFencingNumber = Math.max(this.highestFencingNumber, order.fencingNumber);
    if (this.version !== order.version && this.loading !== order.version)
      void this.loadVersion(order.version);
    return ok({});
  }

  private async loadVersion(version: string): Promise<void> {
    this.loading = version;
    while (this.options.platformUrl !== undefined && !this.isStopped) {
      const url = `${this.options.platformUrl}/weights/${encodeURIComponent(version)}`;
      const response = await fetch(url).catch(() => undefined);
      if (response?.status === 200) break;
      await delay(weightRetryDelayMilliseconds);
    }
    if (this.loading !== version) return;
    this.version = version;
    this.loading = null;
  }

  private control(body: Record<string, unknown>): JsonResponse {
    if (typeof body.leaving === "boolean") this.isLeaving = body.leaving;
    if (typeof body.slowness === "number") this.slowness = body.slowness;
    if (typeof body.lossyEvents === "boolean") this.hasLossyEvents = body.lossyEvents;
    if (body.forgetSequences === true) this.sequences.clear();
    this.report = { ...this.report, leaving: this.isLeaving };
    return ok({});
  }
}
