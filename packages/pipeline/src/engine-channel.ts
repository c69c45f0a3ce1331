//! The step channel to one engine: one long-lived HTTP exchange that the steps of many
//! sequences share. Missing heartbeats, not TCP, detect an engine that does not answer.
import { parseJson, type Milliseconds } from "@lovagebend/common";
import http from "node:http";
import { Result } from "true-myth";
import { engineLine, type StepMessage, type StepOutput } from "./engine-protocol.js";

export interface EngineAddress {
  readonly host: string;
  readonly port: number;
}

/// A step without its identifier, which the channel assigns.
export type Step = Omit<StepMessage, "id">;

/// `lost`: the engine cannot be reached; the step may have run there, and a late result is
/// dropped. `refused`: the engine answered that it did not run the step, or its outputs are
/// incomplete. `cancelled`: the caller's signal was aborted.
export type StepFailure =
  | { readonly kind: "lost"; readonly reason: string }
  | { readonly kind: "refused"; readonly reason: string }
  | { readonly kind: "cancelled" };

/// Runs steps on one engine. `step` never throws.
export interface StepChannel {
  step(step: Step, signal: AbortSignal): Promise<Result<readonly StepOutput[], StepFailure>>;
  /// Allows the engine to evict a sequence and its cache.
  closeSequence(sequence: string): void;
}

/// The engine sends a heartbeat every 200 ms while steps are open, so half a second without
/// data means that the connection or the engine has failed. A second connection
/// distinguishes the two. Both timeouts together stay under one second.
const heartbeatTimeout: Milliseconds = 500;
const reconnectTimeout: Milliseconds = 400;
const maximumLineBytes = 8 * 1024 * 1024;

interface OpenStep {
  message: StepMessage;
  readonly signal: AbortSignal;
  readonly resolve: (outcome: Result<readonly StepOutput[], StepFailure>) => void;
}

interface Connection {
  readonly request: http.ClientRequest;
  hasAnswered: boolean;
}

/// A channel that connects when it has steps to send, and again after a failure. A step is
/// sent a second time only over a new connection to the same engine, which returns the same
/// outputs if it has already run the step. Results are matched by the identifier, sequence
/// and position of the step. Any other result is dropped, so a late or misplaced result
/// reaches no caller.
export class EngineChannel implements StepChannel {
  private readonly openSteps = new Map<number, OpenStep>();
  private outgoingSteps: StepMessage[] = [];
  private outgoingCloses: string[] = [];
  private connection: Connection | undefined;
  private heartbeatTimer: NodeJS.Timeout | undefined;
  private readonly observedSignals = new WeakSet<AbortSignal>();
  private isFlushScheduled = false;
  private nextId = 1;

  constructor(private readonly address: EngineAddress) {}

  /// The number of steps without a result.
  get openStepCount(): number {
    return this.openSteps.size;
  }

  step(step: Step, signal: AbortSignal): Promise<Result<readonly StepOutput[], StepFailure>> {
    if (signal.aborted) return Promise.resolve(Result.err({ kind: "cancelled" }));
    return new Promise((resolve) => {
      const message: StepMessage = { id: this.nextId, ...step };
      this.nextId += 1;
      this.openSteps.set(message.id, { message, signal, resolve });
      this.observeSignal(signal);
      this.outgoingSteps.push(message);
      this.scheduleFlush();
    });
  }

  closeSequence(sequence: string): void {
    if (this.connection === undefined) return;
    this.outgoingCloses.push(sequence);
    this.scheduleFlush();
  }

  /// Ends the connection. Open steps fail as `lost`.
  close(): void {
    this.dropConnection();
    this.failAllSteps("the channel was closed");
  }

  // All steps of an answer share one listener on its signal, because adding one for each step
  // costs more than the other work for the step.
  private observeSignal(signal: AbortSignal): void {
    if (this.observedSignals.has(signal)) return;
    this.observedSignals.add(signal);
    const cancel = (): void => {
      const cancelled = [...this.openSteps.values()].filter((step) => step.signal === signal);
      for (const { message } of cancelled) {
        this.completeStep(message.id, Result.err({ kind: "cancelled" }));
      }
    };
    signal.addEventListener("abort", cancel, { once: true });
  }

  // Steps of the same turn of the event loop are sent in one write.
  private scheduleFlush(): void {
    if (this.isFlushScheduled) return;
    this.isFlushScheduled = true;
    setImmediate(() => {
      this.isFlushScheduled = false;
      this.flush();
    });
  }

  private flush(): void {
    if (this.outgoingSteps.length === 0 && this.outgoingCloses.length === 0) return;
    this.connection ??= this.connect();
    const line: { steps?: StepMessage[]; close?: string[] } = {};
    if (this.outgoingSteps.length > 0) line.steps = this.outgoingSteps;
    if (this.outgoingCloses.length > 0) line.close = this.outgoingCloses;
    this.outgoingSteps = [];
    this.outgoingCloses = [];
    this.connection.request.write(`${JSON.stringify(line)}\n`);
    if (this.heartbeatTimer === undefined) this.restartHeartbeatTimer();
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
    const connection: Connection = { request, hasAnswered: false };
    request.on("error", (error) => {
      this.handleConnectionFailure(connection, error.message);
    });
    request.on("response", (response) => {
      if (response.statusCode !== 200) {
        this.handleConnectionFailure(connection, `status ${response.statusCode ?? 0}`);
        return;
      }
      this.readLines(connection, response);
    });
    return connection;
  }

  private readLines(connection: Connection, response: http.IncomingMessage): void {
    let partialLine = "";
    response.setEncoding("utf8");
    response.on("data", (chunk: string) => {
      if (connection !== this.connection) return;
      connection.hasAnswered = true;
      this.restartHeartbeatTimer();
      const lines = (partialLine + chunk).split("\n");
      partialLine = lines.pop() ?? "";
      for (const line of lines) this.handleLine(connection, line);
      if (partialLine.length > maximumLineBytes)
        this.handleConnectionFailure(connection, "the engine sent a line that is too long");
    });
    response.on("close", () => {
      this.handleConnectionFailure(connection, "the connection was closed");
    });
    response.on("error", () => {
      this.handleConnectionFailure(connection, "the connection failed");
    });
  }

  private handleLine(connection: Connection, line: string): void {
    const parsed = parseLine(line);
    if (parsed === undefined) {
      this.handleConnectionFailure(connection, "the engine sent an invalid line");
      return;
    }
    for (const result of parsed.results ?? []) {
      const message = this.openSteps.get(result.id)?.message;
      if (message?.sequence !== result.sequence || message.from !== result.from) continue;
      const hasAllOutputs = result.outputs?.length === message.inputs.length;
      if (result.outputs !== undefined && hasAllOutputs)
        this.completeStep(result.id, Result.ok(result.outputs));
      else
        this.completeStep(
          result.id,
          Result.err({
            kind: "refused",
            reason: result.error ?? "the engine returned incomplete outputs",
          }),
        );
    }
  }

  private completeStep(id: number, outcome: Result<readonly StepOutput[], StepFailure>): void {
    const step = this.openSteps.get(id);
    if (step === undefined) return;
    this.openSteps.delete(id);
    if (this.openSteps.size === 0) this.stopHeartbeatTimer();
    step.resolve(outcome);
  }

  private restartHeartbeatTimer(): void {
    this.stopHeartbeatTimer();
    const connection = this.connection;
    if (connection === undefined || this.openSteps.size === 0) return;
    const timeout = connection.hasAnswered ? heartbeatTimeout : reconnectTimeout;
    this.heartbeatTimer = setTimeout(() => {
      this.handleConnectionFailure(connection, `no heartbeat within ${timeout} ms`);
    }, timeout);
  }

  private stopHeartbeatTimer(): void {
    clearTimeout(this.heartbeatTimer);
    this.heartbeatTimer = undefined;
  }

  // A connection that has never answered shows that the engine cannot be reached, so all open
  // steps fail. After the failure of a connection that has answered, each sent step is
  // repeated once over a new connection.
  private handleConnectionFailure(connection: Connection, reason: string): void {
    if (connection !== this.connection) return;
    this.dropConnection();
    if (!connection.hasAnswered) {
      this.failAllSteps(reason);
      return;
    }
    const unsentIds = new Set(this.outgoingSteps.map(({ id }) => id));
    for (const step of [...this.openSteps.values()]) {
      if (unsentIds.has(step.message.id)) continue;
      if (step.message.repeated === true) {
        this.completeStep(step.message.id, Result.err({ kind: "lost", reason }));
        continue;
      }
      step.message = { ...step.message, repeated: true };
      this.outgoingSteps.push(step.message);
    }
    if (this.outgoingSteps.length > 0) this.flush();
  }

  private dropConnection(): void {
    this.stopHeartbeatTimer();
    const connection = this.connection;
    this.connection = undefined;
    connection?.request.destroy();
  }

  private failAllSteps(reason: string): void {
    this.outgoingSteps = [];
    for (const id of [...this.openSteps.keys()])
      this.completeStep(id, Result.err({ kind: "lost", reason }));
  }
}

function parseLine(line: string) {
  const parsed = parseJson(engineLine, line);
  return parsed.isOk ? parsed.value : undefined;
}
