//! A stream on faked engines: each listens on a loopback port and answers as its test says. The
//! services that decide on retries are faked, so that a test can change their word at any time.
import http from "node:http";
import type { AddressInfo } from "node:net";
import {
  ListedState,
  RouteKind,
  type LayerRange,
  type ListedTarget,
  type ServiceProfile,
} from "@lovagebend/catalog";
import { MessageBody, systemClock, type Logger } from "@lovagebend/common";
import { AnswerMemory, TargetConnections, type HeaderNames } from "@lovagebend/forwarding";
import { FairAdmissions, LinkBudget, type SharedRetryBudget } from "@lovagebend/limits";
import type { Admission, PromptQuarantine } from "@lovagebend/quarantine";
import {
  answerBuffered,
  answerStreaming,
  RequestProgress,
  type PauseCause,
  TargetRegistry,
  type AttemptServices,
  type CallerAnswer,
  type CrashReporter,
  type ReroutableStream,
  type RoutedRequest,
  type StreamWatch,
} from "../src/index.js";

const discard = (): undefined => undefined;
const logger: Logger = { info: discard, warn: discard, error: discard };
const patience = 3_000;

const service: ServiceProfile = {
  name: "model",
  healthPath: "/healthz",
  maximumConnections: 100,
  model: {
    layerCount: 2,
    layerMegabytes: 1_750,
    cacheBytesPerToken: 515_820,
    stepTime: 0.85,
    stepTimePerAnswer: 0.0034,
    stepTimePerThousandTokens: 0.0045,
    prefillTokensPerSecond: 321_000,
    stepsPerPass: 2,
    maximumPrefillTokensPerPass: 512,
    loadTime: 14_000,
    typicalPromptTokens: 772,
    typicalAnswerTokens: 142,
    cards: new Map([["card", { memoryMegabytes: 22_000, stepFactor: 16, prefillFactor: 8 }]]),
  },
};

const headerNames: HeaderNames = {
  deadline: "deadline-ms",
  apiKey: "api-key",
  workspace: "tenant",
  expectedTarget: "expect-instance",
  path: "hops",
  priority: "request-priority",
  lastEventId: "last-event-id",
  requestId: "attempt-id",
  receipt: "server-stamp",
  faultyTarget: "at-server",
  notRun: "not-executed",
  requestLimit: "limit",
  load: "load",
  tokenCounts: "token-count",
  promptParts: "prompt-parts",
  leaving: "server-leaving",
};

function createAnswerHeaders({ req }: http.ServerResponse): http.OutgoingHttpHeaders {
  return {
    "attempt-id": req.headers["attempt-id"],
    "server-stamp": "stamp",
    "content-type": "text/event-stream",
  };
}

export function formatEvent(id: number): string {
  return `id: ${id}\ndata: token-${id}\n\n`;
}

/// Sends a head and `ids`, and leaves the answer open.
export function sendEvents(response: http.ServerResponse, ...ids: readonly number[]): void {
  if (!response.headersSent) response.writeHead(200, createAnswerHeaders(response));
  response.flushHeaders();
  for (const id of ids) response.write(formatEvent(id));
}

/// Sends an answer of `text` that has no length and ends with its connection.
export function sendWithoutLength(response: http.ServerResponse, text: string): void {
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
  response.writeHead(200, createAnswerHeaders(response));
  response.flushHeaders();
  response.end(text);
}

/// Sends an answer with neither a length nor an event.
export function sendNothingWithoutLength(response: http.ServerResponse): void {
  sendWithoutLength(response, "");
}

/// Sends an answer whose length says that it is whole, and has no event.
export function sendNothingWithLength(response: http.ServerResponse): void {
  response.writeHead(200, { ...createAnswerHeaders(response), "content-length": 0 }).end();
}

/// Refuses a request without having run it, because of the engine on `port`.
export function refuse(response: http.ServerResponse, port: number): void {
  const headers = {
    "attempt-id": "request",
    "not-executed": "1",
    "at-server": `127.0.0.1:${port}`,
  };
  response.writeHead(503, headers).end();
}

export function reset(response: http.ServerResponse): void {
  response.req.socket.resetAndDestroy();
}

/// Resolves once `condition` holds, and throws if it does not in time.
export async function until(condition: () => boolean): Promise<void> {
  const end = performance.now() + patience;
  while (!condition()) {
    if (performance.now() > end) throw new Error(`never: ${condition.toString()}`);
    await systemClock.sleep(5);
  }
}

class FakedAnswer implements CallerAnswer {
  hasBegun = false;
  isComplete = false;
  abortReason: string | undefined;
  text = "";

  begin(): void {
    this.hasBegun = true;
  }

  send(bytes: Buffer): boolean {
    this.text += bytes.toString();
    return true;
  }

  onceRead(callback: () => void): void {
    callback();
  }

  end(bytes?: Buffer): void {
    if (bytes !== undefined) this.send(bytes);
    this.isComplete = true;
  }

  abort(reason: string): void {
    this.abortReason = reason;
  }
}

export class FakedEngine {
  readonly responses: http.ServerResponse[] = [];
  /// The paths of the requests, with names in place of addresses.
  readonly paths: string[] = [];
  /// The ports of the entry VM from which the requests came.
  readonly callerPorts: (number | undefined)[] = [];
  private readonly server = http.createServer((request, response) => {
    request.resume();
    request.on("error", discard);
    this.responses.push(response);
    this.paths.push(String(request.headers[headerNames.path]));
    this.callerPorts.push(request.socket.remotePort);
    this.behaviour(response, this.responses.length);
  });

  constructor(
    readonly name: string,
    private readonly behaviour: (response: http.ServerResponse, count: number) => void,
  ) {}

  async listen(): Promise<number> {
    await new Promise<void>((resolve) => this.server.listen(0, "127.0.0.1", resolve));
    return this.port;
  }

  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  close(): void {
    this.server.closeAllConnections();
    this.server.close();
  }
}

export class StreamFixture {
  readonly answer = new FakedAnswer();
  readonly caller = new AbortController();
  admission: Admission = { kind: "admitted" };
  /// Whether the retry budget has an allowance.
  hasBudget = true;
  requestId = "request";
  maximumAttempts = 3;
  /// The time until the deadline of a stream that is started.
  timeLeft = patience;
  refusedSpends = 0;
  /// Called before a grant is given for a request to an engine.
  onAcquire: () => void = discard;
  /// Whether a target has ended, asked at the end of a stream without a length.
  hasEnded: () => Promise<boolean> = () => Promise.resolve(false);
  /// The longest pauses of the streams that have ended.
  readonly longestPauses: { readonly seconds: number; readonly cause: PauseCause }[] = [];
  private readonly engines: FakedEngine[] = [];
  private readonly entries = new Map<string, ListedTarget>();
  private readonly watched = new Set<ReroutableStream>();
  private readonly registry = new TargetRegistry(systemClock, logger);
  private readonly connections = new TargetConnections();

  async addEngine(
    name: string,
    behaviour: (response: http.ServerResponse, count: number) => void,
    layers: LayerRange = { first: 0, end: 2 },
  ): Promise<FakedEngine> {
    const engine = new FakedEngine(name, behaviour);
    this.engines.push(engine);
    const entry = {
      name,
      service: "model",
      host: "127.0.0.1",
      port: await engine.listen(),
      dataCentre: "north",
      state: ListedState.Ready,
      born: 1,
      slots: 100,
      card: "card",
      layers,
    };
    this.entries.set(name, entry);
    this.registry.addOrUpdate(entry);
    return engine;
  }

  /// Changes the entry of an engine.
  updateEntry(name: string, changes: Partial<ListedTarget>): void {
    const entry = this.entries.get(name);
    if (entry === undefined) throw new Error(`no engine ${name}`);
    this.registry.addOrUpdate({ ...entry, ...changes });
  }

  /// Removes the entry of an engine, which goes on serving.
  removeEntry(name: string): void {
    this.registry.markUnlisted(name);
  }

  /// Has this entry VM suspect an engine.
  suspect(name: string): void {
    this.registry.suspect(name, "no answer");
  }

  /// Starts the stream. Resolves when it has ended.
  run(): Promise<void> {
    return answerStreaming(this.createRequest(), this.answer, this.createServices());
  }

  /// Sends the request as one whose answer is not a stream. Resolves when it has ended.
  runBuffered(): Promise<void> {
    return answerBuffered(this.createRequest(), this.answer, this.createServices());
  }

  /// Asks for the stream to be moved off `engine`, as after a stall.
  reroute(engine: FakedEngine, urgency: Parameters<ReroutableStream["reroute"]>[2]): void {
    for (const stream of this.watched) stream.reroute([engine.name], "stalled", urgency);
  }

  close(): void {
    this.caller.abort();
    this.connections.close();
    for (const engine of this.engines) engine.close();
  }

  private createRequest(): RoutedRequest {
    return {
      id: this.requestId,
      method: "POST",
      path: "/",
      rawHeaders: ["host", "model.example", "attempt-id", this.requestId],
      body: MessageBody.of(Buffer.alloc(0)),
      route: {
        name: "advice",
        host: "model.example",
        pathPrefix: "/",
        kind: RouteKind.Streaming,
        timeout: patience,
        latencyObjective: patience,
        priority: 5,
        services: [],
        maximumAttempts: this.maximumAttempts,
        isPublic: false,
        isResumable: true,
        eventGapObjective: patience,
      },
      service,
      workspace: "workspace",
      priority: 5,
      deadline: performance.now() + this.timeLeft,
      tokens: 10,
      promptTokens: 5,
      sharedPromptParts: ["part"],
      signal: this.caller.signal,
      progress: new RequestProgress(),
    };
  }

  private createServices(): AttemptServices {
    const trySpend = (): boolean => {
      if (!this.hasBudget) this.refusedSpends += 1;
      return this.hasBudget;
    };
    const budget: Partial<SharedRetryBudget> = {
      recordRequest: discard,
      trySpend,
    };
    const watch: Partial<StreamWatch> = {
      add: (stream) => {
        this.watched.add(stream);
        return () => this.watched.delete(stream);
      },
    };
    const crashReporter: Partial<CrashReporter> = {
      reportBrokenStart: () => this.hasEnded(),
      hasEnded: () => this.hasEnded(),
    };
    const quarantine: Partial<PromptQuarantine> = {
      admit: () => this.admission,
      recordSurvival: discard,
    };
    return {
      clock: systemClock,
      logger,
      targetRegistry: this.registry,
      connections: this.connections,
      answerMemory: new AnswerMemory(1_000_000),
      headerNames,
      budget: budget as SharedRetryBudget,
      engines: {
        readProcessState: () => Promise.resolve({ kind: "unknown" }),
        getStalledAnswers: () => Promise.reject(new Error("not asked")),
        changePath: () => Promise.resolve({ kind: "unknown", reason: "not asked" }),
      },
      watch: watch as StreamWatch,
      crashReporter: crashReporter as CrashReporter,
      targetLinks: { isLost: () => false, check: () => Promise.resolve() },
      quarantine: quarantine as PromptQuarantine,
      requestLimiter: {
        check: () => ({ kind: "allowed" }),
        acquire: () => {
          this.onAcquire();
          return Promise.resolve({ kind: "allowed" });
        },
        recordAnswer: discard,
      },
      metrics: {
        recordFirstEvent: discard,
        recordLongestPause: (seconds, cause) => this.longestPauses.push({ seconds, cause }),
        recordEstimateError: discard,
        recordLinkTransfer: discard,
        recordPartFault: discard,
      },
      admissions: new FairAdmissions(),
      links: new LinkBudget(),
      holdsTrial: () => false,
      dataCentre: "north",
      entryVmCount: () => 1,
      localEntryVmCount: () => 1,
      formatPath: ({ parts }) =>
        parts.map(({ engine, first, end }) => `${engine.name}:${first}-${end}`).join(" "),
    };
  }
}
