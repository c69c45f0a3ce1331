//! The fixture of tests of relayed requests: an entry VM's relay, peers that are stand-ins on the
//! loopback interface, and the answer as its caller gets it.
import {
  RequestProgress,
  type CallerAnswer,
  type RequestEnd,
  type RoutedRequest,
} from "@lovagebend/attempts";
import type { RouteKind } from "@lovagebend/catalog";
import {
  getErrorResponse,
  MessageBody,
  systemClock,
  type Framing,
  type Logger,
  type Milliseconds,
  type RouterError,
} from "@lovagebend/common";
import { AnswerMemory, type HeaderNames } from "@lovagebend/forwarding";
import type http from "node:http";
import type { AddressInfo, Socket } from "node:net";
import type { Test } from "tap";
import { answerRequest, type AnswerServices } from "../src/answer-request.js";
import type { PeerFact } from "../src/entry-vm-directory.js";
import { RequestSource } from "../src/open-requests.js";
import type { VmFact } from "../src/peer-message.js";
import { PeerRelay, type RelayOutcome } from "../src/peer-relay.js";
import { createPeerServer } from "../src/peer-server.js";
import { createRefusalMarks } from "../src/relayed-request.js";

export const service = "portal";
export const requestId = "attempt-1";
export const headerNames: HeaderNames = {
  requestId: "request-id",
  receipt: "receipt",
  deadline: "deadline",
  apiKey: "key",
  workspace: "workspace",
  expectedTarget: "expected-target",
  path: "path",
  priority: "priority",
  notRun: "not-run",
  faultyTarget: "faulty-target",
  lastEventId: "last-event",
  load: "load",
  tokenCounts: "tokens",
  promptParts: "prompt-parts",
  leaving: "server-leaving",
  requestLimit: "request-limit",
};
/// What a target's success contains.
export const soundHeaders = { [headerNames.requestId]: requestId, [headerNames.receipt]: "stamp" };

const discard = (): undefined => undefined;
const logger: Logger = { info: discard, warn: discard, error: discard };
const answerMemoryBytes = 16 * 1024 * 1024;
const timeLeft = 2_000;

export interface RelayedRequest {
  readonly method: string | undefined;
  readonly path: string | undefined;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  readonly socket: Socket;
  readonly response: http.ServerResponse;
  wasClosed: boolean;
}

/// A peer that answers as a test says, behind the server that peers have.
export class StandInPeer {
  readonly received: RelayedRequest[] = [];
  private readonly server = createPeerServer(
    { receive: () => Promise.reject(new Error("a relayed request was taken for a message")) },
    (request, response) => this.receive(request, response),
    logger,
  );

  constructor(
    readonly name: string,
    private readonly answer: (request: RelayedRequest) => void,
    /// What differs from the facts of a peer that accepts relayed requests.
    private readonly fact: Partial<VmFact> = {},
  ) {}

  async listen(): Promise<void> {
    await new Promise<void>((resolve) => this.server.listen(0, "127.0.0.1", resolve));
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  describe(): PeerFact {
    const { port } = this.server.address() as AddressInfo;
    const value = {
      address: `127.0.0.1:${port}`,
      dataCentre: "north",
      isStopping: false,
      acceptsRelayed: true,
      lostServices: [],
      ...this.fact,
    };
    return { owner: this.name, age: 0, value };
  }

  private async receive(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
    const { method, url: path, headers, socket } = request;
    const body = Buffer.concat(chunks).toString();
    const received = { method, path, headers, body, socket, response, wasClosed: false };
    response.on("close", () => {
      received.wasClosed = true;
    });
    this.received.push(received);
    this.answer(received);
  }
}

/// Has a peer refuse requests with `error`, in the form that entry VMs use.
export function refuseWith(error: RouterError): (request: RelayedRequest) => void {
  const { kind, run, message, retryAfterSeconds } = error;
  const retryAfter =
    retryAfterSeconds === undefined ? {} : { "retry-after": String(retryAfterSeconds) };
  return ({ response }) => {
    response
      .writeHead(getErrorResponse(kind).status, {
        ...createRefusalMarks(error, requestId, headerNames),
        ...retryAfter,
      })
      .end(JSON.stringify({ error: { kind, run, message } }));
  };
}

/// Records the answer to a caller.
export class RecordedAnswer implements CallerAnswer {
  status: number | undefined;
  headers: Readonly<Record<string, string | string[]>> = {};
  framing: Framing | undefined;
  body = "";
  outcome: "ended" | "aborted" | undefined;
  /// Whether the caller keeps up with reading.
  isReading = true;
  private readonly waiting: (() => void)[] = [];

  get hasBegun(): boolean {
    return this.status !== undefined;
  }

  begin(
    status: number,
    headers: Readonly<Record<string, string | string[]>>,
    framing: Framing,
  ): void {
    Object.assign(this, { status, headers, framing });
  }

  send(bytes: Buffer): boolean {
    this.body += bytes.toString();
    return this.isReading;
  }

  onceRead(callback: () => void): void {
    this.waiting.push(callback);
  }

  /// Lets the caller read all that has been sent, and keep up from now on.
  read(): void {
    this.isReading = true;
    for (const callback of this.waiting.splice(0)) callback();
  }

  end(bytes?: Buffer): void {
    this.body += bytes?.toString() ?? "";
    this.outcome = "ended";
  }

  abort(): void {
    this.outcome = "aborted";
  }
}

export interface RequestOptions {
  readonly id?: string;
  readonly isResumable?: boolean;
  readonly method?: string;
  readonly path?: string;
  readonly rawHeaders?: readonly string[];
  readonly body?: string;
  readonly timeLeft?: Milliseconds;
  /// How many targets may have run the request before.
  readonly runs?: number;
}

/// An entry VM that reaches no target of the service itself.
export class RelayScenario {
  readonly answer = new RecordedAnswer();
  /// What the relay has counted, in order.
  readonly results: string[] = [];
  private readonly controller = new AbortController();
  private readonly relay: PeerRelay;

  constructor(readonly peers: readonly StandInPeer[]) {
    this.relay = new PeerRelay({
      dataCentre: "north",
      directory: { listLivePeers: () => peers.map((peer) => peer.describe()) },
      headerNames,
      answerMemory: new AnswerMemory(answerMemoryBytes),
      metrics: {
        recordRelay: (_service, result) => {
          this.results.push(result);
        },
      },
      clock: systemClock,
      logger,
    });
  }

  static async start(t: Test, ...peers: StandInPeer[]): Promise<RelayScenario> {
    await Promise.all(peers.map((peer) => peer.listen()));
    const scenario = new RelayScenario(peers);
    t.teardown(() => {
      scenario.relay.close();
      for (const peer of peers) peer.close();
    });
    return scenario;
  }

  /// How many requests each peer has received.
  get counts(): number[] {
    return this.peers.map(({ received }) => received.length);
  }

  send(kind: RouteKind, options?: RequestOptions): Promise<RelayOutcome> {
    return this.relay.answer(this.createRequest(kind, options), this.answer);
  }

  /// Has the entry VM answer a request that it has got from `source`.
  answerRequest(kind: RouteKind, source = RequestSource.Caller): Promise<void> {
    // The links are silent, so that nothing else is used.
    const services = {
      targetLinks: {
        isLost: () => true,
        isRefused: () => false,
        check: () => Promise.resolve(),
      },
      relay: this.relay,
    };
    const request = this.createRequest(kind);
    return answerRequest(request, this.answer, source, services as unknown as AnswerServices);
  }

  end(reason: RequestEnd): void {
    this.controller.abort(reason);
  }

  private createRequest(kind: RouteKind, options: RequestOptions = {}): RoutedRequest {
    const {
      id = requestId,
      isResumable = false,
      method = "POST",
      path = "/order/1",
      rawHeaders = [],
    } = options;
    const progress = new RequestProgress();
    progress.recordRun(options.runs ?? 0);
    return {
      id,
      method,
      path,
      rawHeaders: ["Host", "portal.example", "Request-Id", id, ...rawHeaders],
      body: MessageBody.of(Buffer.from(options.body ?? "")),
      route: {
        name: "route",
        host: "portal.example",
        pathPrefix: "/order/",
        kind,
        timeout: timeLeft,
        latencyObjective: 500,
        priority: 1,
        services: [{ service, weight: 1 }],
        maximumAttempts: 2,
        isPublic: false,
        isResumable,
        eventGapObjective: 200,
      },
      service: { name: service, healthPath: "/health", maximumConnections: 8, model: undefined },
      workspace: "guild",
      priority: 1,
      deadline: systemClock.monotonicTime() + (options.timeLeft ?? timeLeft),
      tokens: 0,
      promptTokens: 0,
      sharedPromptParts: [],
      signal: this.controller.signal,
      progress,
    };
  }
}

/// Waits until `condition` returns true.
export async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 5));
}
