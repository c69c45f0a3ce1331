//! The requests of callers that have no complete answer yet. Reports each one whose connection
//! ends, with the progress of the request and who ended the connection.
import { RequestEnd, RequestProgress } from "@lovagebend/attempts";
import { RequestTurns, type Milliseconds } from "@lovagebend/common";
import type http from "node:http";
import type { Duplex } from "node:stream";
import type { CallerShare } from "./caller-memory.js";

/// Who ended the connection of a request. `callerClose` includes a caller that ended only its
/// sending half, which reads the same. `entryVm` is without a reason if Node's server or the
/// shutdown ended the connection.
export type ConnectionEnd =
  | { readonly kind: "callerClose" }
  | { readonly kind: "connectionError"; readonly code: string }
  | { readonly kind: "entryVm"; readonly reason: string | undefined };

/// Where a request comes from. One that a peer has relayed is not relayed again.
export enum RequestSource {
  Caller = "caller",
  Peer = "peer",
}

/// A request from its head to the end of its answer.
export class OpenRequest {
  readonly progress = new RequestProgress();
  /// The name of the route, once it is known.
  route: string | undefined;
  /// Why this entry VM ends the connection. To be set before it does so.
  endReason: string | undefined;
  /// Whether the answer says that this entry VM closes the connection behind it.
  announcesLast = false;
  /// The memory of its bytes, released at its end.
  share: CallerShare | undefined;
  private readonly controller = new AbortController();

  constructor(
    readonly id: string | undefined,
    readonly response: http.ServerResponse,
    readonly receivedAt: Milliseconds,
    readonly source: RequestSource,
  ) {}

  /// Aborts with a `RequestEnd` when the request ends before its answer is complete.
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /// Ends the work on the request.
  end(reason: RequestEnd): void {
    this.controller.abort(reason);
  }
}

export class OpenRequests {
  private readonly turns = new RequestTurns<OpenRequest>();
  private count = 0;

  /// `onUnanswered` is called once for each request whose connection ends before its answer has
  /// been handed to the operating system as a whole.
  constructor(private readonly onUnanswered: (request: OpenRequest, end: ConnectionEnd) => void) {}

  /// Counts requests, several of which can be open on one connection.
  get size(): number {
    return this.count;
  }

  list(): OpenRequest[] {
    return this.turns.list();
  }

  /// Whether a request on `socket` has no complete answer yet.
  has(socket: Duplex): boolean {
    return this.listOn(socket).length > 0;
  }

  /// Whether an answer that closes `socket` is being sent.
  isLastAnnounced(socket: Duplex): boolean {
    return this.listOn(socket).some(({ announcesLast }) => announcesLast);
  }

  /// The requests on `socket`, in their order.
  listOn(socket: Duplex): OpenRequest[] {
    return this.turns.listOn(socket);
  }

  /// Resolves when the requests before `request` on `socket` have been answered, or when it ends.
  waitForTurn(request: OpenRequest, socket: Duplex): Promise<void> {
    return this.turns.wait(request, socket, request.signal);
  }

  /// Tracks `request` until its answer is complete or `socket` is closed. Node reports a closed
  /// connection only to the first of the responses that are open on it, so this is observed on the
  /// socket.
  add(request: OpenRequest, socket: Duplex): void {
    if (this.turns.add(request, socket)) this.track(socket);
    this.count += 1;
    request.response.once("finish", () => {
      this.recordAnswered(request, socket);
    });
  }

  /// Records that the whole answer has been sent, although its response has not ended.
  recordAnswered(request: OpenRequest, socket: Duplex): void {
    if (this.turns.remove(request, socket)) this.release(request);
  }

  private release(request: OpenRequest): void {
    this.count -= 1;
    request.share?.release();
  }

  private track(socket: Duplex): void {
    let error: NodeJS.ErrnoException | undefined;
    socket.once("error", (cause: NodeJS.ErrnoException) => {
      error = cause;
    });
    socket.once("close", () => {
      for (const request of this.turns.removeAll(socket)) {
        this.release(request);
        request.end(RequestEnd.CallerGone);
        this.onUnanswered(request, findConnectionEnd(request, socket, error));
      }
    });
  }
}

function findConnectionEnd(
  { endReason }: OpenRequest,
  socket: Duplex,
  error: NodeJS.ErrnoException | undefined,
): ConnectionEnd {
  if (endReason !== undefined) return { kind: "entryVm", reason: endReason };
  if (error !== undefined) return { kind: "connectionError", code: error.code ?? error.message };
  if (socket.readableEnded) return { kind: "callerClose" };
  return { kind: "entryVm", reason: undefined };
}
