//! The step channel to one engine: one long HTTP exchange that the steps of many
//! sequences share. Silence is found by missing signs of life, not by TCP.
import { validate, type Milliseconds } from "@lovagebend/common";
import http from "node:http";
import { Result } from "true-myth";
import { engineLine, type StepMessage, type StepOutput } from "./engine-protocol.js";

export interface EngineAddress {
  readonly host: string;
  readonly port: number;
}

/// A step without its number, which the channel gives it.
export type Step = Omit<StepMessage, "id">;

/// `lost`: the engine cannot be reached; the step may have run there, and its
/// result will never be taken. `refused`: the engine answered that it did not run
/// the step. `cancelled`: the caller's signal was aborted.
export type StepFailure =
  | { readonly kind: "lost"; readonly reason: string }
  | { readonly kind: "refused"; readonly reason: string }
  | { readonly kind: "cancelled" };

/// A way to run steps on one engine. `step` never throws.
export interface StepChannel {
  step(step: Step, signal: AbortSignal): Promise<Result<readonly StepOutput[], StepFailure>>;
  /// Lets the engine drop a sequence and its cache.
  closeSequence(sequence: string): void;
}

/// Signs of life come every 200 ms while steps are open, so that half a second
/// without any means that the connection or the engine is gone. The second, fresh
/// connection tells which; both together stay under one second.
const silenceLimit: Milliseconds = 500;
const reconnectLimit: Milliseconds = 400;
const longestLineBytes = 8 * 1024 * 1024;

interface OpenStep {
  message: StepMessage;
  readonly signal: AbortSignal;
  readonly resolve: (outcome: Result<readonly StepOutput[], StepFailure>) => void;
}

interface Connection {
  readonly request: http.ClientRequest;
  answered: boolean;
}

/// A channel that connects when it has steps to send, and again after a failure.
/// A step is sent a second time only over a new connection to the same engine,
/// which gives the outputs again if it has run it. Results are matched by the
/// step's number, sequence and position; any other line is dropped, so a result
/// that comes late or crossed reaches nobody.
export class EngineChannel implements StepChannel {
  private readonly open = new Map<number, OpenStep>();
  private outgoing: StepMessage[] = [];
  private closings: string[] = [];
  private connection: Connection | undefined;
  private watchdog: NodeJS.Timeout | undefined;
  private readonly followed = new WeakSet<AbortSignal>();
  private flushing = false;
  private nextId = 1;

  constructor(private readonly address: EngineAddress) {}

  /// Steps sent and not answered.
  get openSteps(): number {
    return this.open.size;
  }

  step(step: Step, signal: AbortSignal): Promise<Result<readonly StepOutput[], StepFailure>> {
    if (signal.aborted) return Promise.resolve(Result.err({ kind: "cancelled" }));
    return new Promise((resolve) => {
      const message: StepMessage = { id: this.nextId, ...step };
      this.nextId += 1;
      this.open.set(message.id, { message, signal, resolve });
      this.followSignal(signal);
      this.outgoing.push(message);
      this.scheduleFlush();
    });
  }

  closeSequence(sequence: string): void {
    if (this.connection === undefined) return;
    this.closings.push(sequence);
    this.scheduleFlush();
  }

  /// Ends the connection; open steps fail.
  close(): void {
    this.drop();
    this.failAll("channel closed");
  }

  // One listener for all steps of an answer; adding one for each step cost more than the
  // step's own bookkeeping.
  private followSignal(signal: AbortSignal): void {
    if (this.followed.has(signal)) return;
    this.followed.add(signal);
    const cancel = (): void => {
      const cancelled = [...this.open.values()].filter((step) => step.signal === signal);
      for (const { message } of cancelled) {
        this.finish(message.id, Result.err({ kind: "cancelled" }));
      }
    };
    signal.addEventListener("abort", cancel, { once: true });
  }

  // Steps of the same turn of the event loop leave in one write.
  private scheduleFlush(): void {
    if (this.flushing) return;
    this.flushing = true;
    setImmediate(() => {
      this.flushing = false;
      this.flush();
    });
  }

  private flush(): void {
    if (this.outgoing.length === 0 && this.closings.length === 0) return;
    this.connection ??= this.connect();
    const line: { steps?: StepMessage[]; close?: string[] } = {};
    if (this.outgoing.length > 0) line.steps = this.outgoing;
    if (this.closings.length > 0) line.close = this.closings;
    this.outgoing = [];
    this.closings = [];
    this.connection.request.write(`${JSON.stringify(line)}\n`);
    if (this.watchdog === undefined) this.watch();
  }

  private connect(): Connection {
    const request = http.request({
      host: this.address.host,
      port: this.address.port,
      method: "POST",
      path: "/v1/steps",
      agent: false,
      headers: { "content-type": "application/x-ndjson" },
    });
    request.setNoDelay(true);
    request.flushHeaders();
    const connection: Connection = { request, answered: false };
    request.on("error", (error) => {
      this.onBroken(connection, error.message);
    });
    request.on("response", (response) => {
      if (response.statusCode !== 200) {
        this.onBroken(connection, `status ${response.statusCode ?? 0}`);
        return;
      }
      this.read(connection, response);
    });
    return connection;
  }

  private read(connection: Connection, response: http.IncomingMessage): void {
    let rest = "";
    response.setEncoding("utf8");
    response.on("data", (chunk: string) => {
      if (connection !== this.connection) return;
      connection.answered = true;
      this.watch();
      const lines = (rest + chunk).split("\n");
      rest = lines.pop() ?? "";
      for (const line of lines) this.takeLine(connection, line);
      if (rest.length > longestLineBytes) this.onBroken(connection, "line too long");
    });
    response.on("close", () => {
      this.onBroken(connection, "connection closed");
    });
    response.on("error", () => {
      this.onBroken(connection, "connection broken");
    });
  }

  private takeLine(connection: Connection, line: string): void {
    const parsed = parseLine(line);
    if (parsed === undefined) {
      this.onBroken(connection, "line not understood");
      return;
    }
    for (const result of parsed.results ?? []) {
      const message = this.open.get(result.id)?.message;
      if (message?.sequence !== result.sequence || message.from !== result.from) continue;
      const fits = result.outputs?.length === message.inputs.length;
      if (result.outputs !== undefined && fits) this.finish(result.id, Result.ok(result.outputs));
      else
        this.finish(
          result.id,
          Result.err({ kind: "refused", reason: result.error ?? "no outputs" }),
        );
    }
  }

  private finish(id: number, outcome: Result<readonly StepOutput[], StepFailure>): void {
    const step = this.open.get(id);
    if (step === undefined) return;
    this.open.delete(id);
    if (this.open.size === 0) this.unwatch();
    step.resolve(outcome);
  }

  private watch(): void {
    this.unwatch();
    const connection = this.connection;
    if (connection === undefined || this.open.size === 0) return;
    const limit = connection.answered ? silenceLimit : reconnectLimit;
    this.watchdog = setTimeout(() => {
      this.onBroken(connection, `no sign of life within ${limit} ms`);
    }, limit);
  }

  private unwatch(): void {
    clearTimeout(this.watchdog);
    this.watchdog = undefined;
  }

  // A connection that never answered proves that the engine is out of reach; one
  // that worked before is given one fresh connection.
  private onBroken(connection: Connection, reason: string): void {
    if (connection !== this.connection) return;
    this.drop();
    if (!connection.answered) {
      this.failAll(reason);
      return;
    }
    const unsent = new Set(this.outgoing.map(({ id }) => id));
    for (const step of [...this.open.values()]) {
      if (unsent.has(step.message.id)) continue;
      if (step.message.repeated === true) {
        this.finish(step.message.id, Result.err({ kind: "lost", reason }));
        continue;
      }
      step.message = { ...step.message, repeated: true };
      this.outgoing.push(step.message);
    }
    if (this.outgoing.length > 0) this.flush();
  }

  private drop(): void {
    this.unwatch();
    const connection = this.connection;
    this.connection = undefined;
    connection?.request.destroy();
  }

  private failAll(reason: string): void {
    this.outgoing = [];
    for (const id of [...this.open.keys()]) this.finish(id, Result.err({ kind: "lost", reason }));
  }
}

function parseLine(line: string) {
  try {
    const parsed = validate(engineLine, JSON.parse(line));
    return parsed.isOk ? parsed.value : undefined;
  } catch {
    return undefined;
  }
}
