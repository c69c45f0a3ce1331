//! Has a peer answer a request of a service whose targets this entry VM doesn't reach. The peer handles
//! it like a request of its own callers and counts it against its own limits and budgets, and never
//! relays it further.
import { createEndError, type CallerAnswer, type RoutedRequest } from "@lovagebend/attempts";
import { isRetryable, RouteKind } from "@lovagebend/catalog";
import {
  ErrorKind,
  frameReceived,
  RouterError,
  RunState,
  type Clock,
  type Logger,
  type Milliseconds,
} from "@lovagebend/common";
import {
  EventSplitter,
  readBody,
  responseHeaders,
  sendToTarget,
  TargetConnections,
  type AnswerMemory,
  type ExchangeOutcome,
  type HeaderNames,
  type TargetResponse,
} from "@lovagebend/forwarding";
import type { EntryVmDirectory } from "./entry-vm-directory.js";
import type { EntryMetrics } from "./metrics.js";
import { createRelayHeaders, isRefusalOfPeer, readRefusal } from "./relayed-request.js";

/// `notTaken`: no peer has run the request, and none can run it later. `refusal` is that of the last
/// peer that was asked.
export type RelayOutcome =
  | { readonly kind: "answered" }
  | { readonly kind: "notTaken"; readonly refusal: RouterError | undefined };

export interface PeerRelayParts {
  readonly dataCentre: string;
  readonly directory: Pick<EntryVmDirectory, "listLivePeers">;
  readonly headerNames: HeaderNames;
  readonly answerMemory: AnswerMemory;
  readonly metrics: Pick<EntryMetrics, "recordRelay">;
  readonly clock: Clock;
  readonly logger: Logger;
}

interface RelayPeer {
  readonly name: string;
  readonly host: string;
  readonly port: number;
}

const maximumPeersAsked = 6;
// A peer that reaches no target either says so in its facts after about this time.
const avoidanceTime: Milliseconds = 1_500;
const maximumEventBytes = 64 * 1024;
const okStatus = 200;
// What a peer refuses for a reason of its own, or of settings that differ from those here.
const refusalsOfOnePeer: ReadonlySet<ErrorKind> = new Set([
  ErrorKind.NoPath,
  ErrorKind.TargetUnreachable,
  ErrorKind.Stopping,
  ErrorKind.SettingsUnknown,
  ErrorKind.VmBusy,
  ErrorKind.CallersLimited,
  ErrorKind.UnknownRoute,
  ErrorKind.Unauthenticated,
]);

export class PeerRelay {
  private readonly connections = new TargetConnections();
  /// Until when other peers are preferred, by peer and service.
  private readonly avoidedUntil = new Map<string, Milliseconds>();

  constructor(private readonly parts: PeerRelayParts) {}

  close(): void {
    this.connections.close();
  }

  /// Has a peer answer `request`, and passes its answer on. Another one is asked only if it is proved
  /// that the request has not run. Throws a `RouterError` if a peer has refused the request, or if it may
  /// have run.
  async answer(request: RoutedRequest, answer: CallerAnswer): Promise<RelayOutcome> {
    const { metrics, clock, logger } = this.parts;
    let refusal: RouterError | undefined;
    for (const peer of this.choosePeers(request.service.name)) {
      if (request.signal.aborted) throw createEndError(request.signal, false);
      request.progress.recordOffer(peer.name);
      const reply = await this.send(request, peer);
      const outcome = await this.handle(request, reply, answer);
      const result = outcome instanceof RouterError ? outcome.kind : outcome;
      metrics.recordRelay(request.service.name, result);
      logger.info("relayed", { request: request.id, peer: peer.name, result });
      if (outcome === "answered") return { kind: "answered" };
      this.avoidedUntil.set(
        `${peer.name} ${request.service.name}`,
        clock.monotonicTime() + avoidanceTime,
      );
      if (outcome === "notSent") continue;
      if (outcome.run !== RunState.NotRun || !refusalsOfOnePeer.has(outcome.kind)) throw outcome;
      refusal = outcome;
    }
    return { kind: "notTaken", refusal };
  }

  // Peers of this data centre first, those that have failed lately last, and else at random.
  private choosePeers(service: string): readonly RelayPeer[] {
    const { directory, dataCentre, clock } = this.parts;
    const now = clock.monotonicTime();
    for (const [key, until] of this.avoidedUntil) if (until <= now) this.avoidedUntil.delete(key);
    return directory
      .listLivePeers()
      .filter(({ value: { isStopping, acceptsRelayed = false, lostServices = [] } }) => {
        return acceptsRelayed && !isStopping && !lostServices.includes(service);
      })
      .map(({ owner, value }) => {
        const [host = "", port] = value.address.split(":");
        const distance = value.dataCentre === dataCentre ? 0 : 1;
        const penalty = this.avoidedUntil.has(`${owner} ${service}`) ? 2 : 0;
        const order = distance + penalty + Math.random();
        return { name: owner, host, port: Number(port), order };
      })
      .sort((left, right) => left.order - right.order)
      .slice(0, maximumPeersAsked);
  }

  private send(request: RoutedRequest, { host, port }: RelayPeer): Promise<ExchangeOutcome> {
    const { headerNames, clock } = this.parts;
    const timeLeft = request.deadline - clock.monotonicTime();
    const isRepeatable = isRetryable(request.route);
    return sendToTarget(
      {
        id: request.id,
        service: request.service.name,
        host,
        port,
        method: request.method,
        path: request.path,
        headers: createRelayHeaders(request, timeLeft, headerNames),
        body: request.body,
        requiresNewConnection: !isRepeatable,
        isRetryable: isRepeatable,
        timeLeft,
        signal: request.signal,
      },
      this.connections,
      headerNames,
    );
  }

  private async handle(
    request: RoutedRequest,
    reply: ExchangeOutcome,
    answer: CallerAnswer,
  ): Promise<"answered" | "notSent" | RouterError> {
    switch (reply.kind) {
      case "notSent":
        return "notSent";
      case "unknown":
        if (request.signal.aborted) throw createEndError(request.signal, true);
        return this.createUnknownError(request, reply.reason);
      case "answered":
        return this.passOn(request, reply.response, answer);
    }
  }

  private async passOn(
    request: RoutedRequest,
    response: TargetResponse,
    answer: CallerAnswer,
  ): Promise<"answered" | RouterError> {
    const { message, status } = response;
    const isRefusal = isRefusalOfPeer(message);
    if (!isRefusal && request.route.kind === RouteKind.Streaming && status === okStatus) {
      await passStreamOn(response, answer);
      return "answered";
    }
    const body = await readBody(response, this.parts.answerMemory);
    if (request.signal.aborted) throw createEndError(request.signal, true);
    if (body.isErr) return this.createUnknownError(request, body.error);
    if (isRefusal) return readRefusal(message, body.value);
    const framing = frameReceived(response, message.headers, body.value.length);
    answer.begin(status, responseHeaders(message.rawHeaders), framing);
    answer.end(body.value);
    return "answered";
  }

  private createUnknownError({ deadline }: RoutedRequest, reason: string): RouterError {
    const isTimeLeft = this.parts.clock.monotonicTime() < deadline;
    const kind = isTimeLeft ? ErrorKind.TargetFailed : ErrorKind.DeadlineExceeded;
    return new RouterError(kind, RunState.Unknown, reason);
  }
}

// Resolves when the stream has ended or broken off. Only whole events are passed on, as from a target.
function passStreamOn(
  { message, getConnectionError }: TargetResponse,
  answer: CallerAnswer,
): Promise<void> {
  const splitter = new EventSplitter(maximumEventBytes);
  answer.begin(okStatus, responseHeaders(message.rawHeaders), { kind: "chunked" });
  return new Promise((resolve) => {
    message.on("data", (chunk: Buffer) => {
      const events = splitter.push(chunk);
      if (splitter.hasOversizedEvent) message.destroy();
      if (events.count === 0 || answer.send(events.bytes)) return;
      message.pause();
      answer.onceRead(() => {
        message.resume();
      });
    });
    message.on("error", () => undefined);
    message.on("close", () => {
      const error = splitter.hasOversizedEvent
        ? "an event exceeds the maximum size"
        : getConnectionError();
      const isWhole = message.complete && error === undefined && splitter.pendingBytes === 0;
      if (isWhole) answer.end();
      else answer.abort(error ?? "the peer broke the stream off");
      resolve();
    });
  });
}
