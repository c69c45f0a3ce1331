//! Enforces the limits on callers: opens the share of each request in the memory of callers' bytes,
//! bounds requests in progress and connections, and the reading of what is discarded.
import { createEndError, RequestEnd } from "@lovagebend/attempts";
import {
  createNoRoomError,
  ErrorKind,
  receiveBody,
  type Clock,
  type Logger,
  type MessageBody,
  type RouterError,
} from "@lovagebend/common";
import type http from "node:http";
import type { CallerLimits } from "./caller-limits.js";
import { CallerMemory, HeldBytes, requestBytes, type CallerShare } from "./caller-memory.js";
import { KeptConnections } from "./kept-connections.js";
import { LimitKind, LimitReport } from "./limit-report.js";
import type { EntryMetrics } from "./metrics.js";
import { ReadRate } from "./read-rate.js";
import { SegmentPool } from "./segment-pool.js";
import type { OpenRequest, OpenRequests } from "./open-requests.js";

// Ordinary answers are handed to the operating system at once; streams pause at this amount.
const smallestUnreadBytes = 64 * 1024;
// Of these, not of their bytes, the reading of a body takes its time.
const smallChunkBytes = 512;
// Of the memory for callers' bytes, beside it. What one body gives up is soon taken by others.
const poolFraction = 0.25;
const unreadReason = "the answer is not read and the memory is used up";

export class CallerGuard {
  readonly memory: CallerMemory;
  readonly connections: KeptConnections;
  readonly discards: ReadRate;
  private readonly report: LimitReport;
  private readonly segments: SegmentPool;
  private readonly smallChunks: ReadRate;

  constructor(
    private readonly limits: CallerLimits,
    private readonly openRequests: OpenRequests,
    metrics: EntryMetrics,
    clock: Clock,
    logger: Logger,
  ) {
    this.memory = new CallerMemory(limits.memoryBytes);
    this.segments = new SegmentPool(limits.memoryBytes * poolFraction);
    this.connections = new KeptConnections(limits.connections, this.memory, (kind) => {
      this.report.record(kind);
    });
    this.discards = new ReadRate(limits.discardBytesPerSecond, () => {
      this.report.record(LimitKind.DiscardDelayed);
    });
    this.smallChunks = new ReadRate(limits.smallChunksPerSecond, () => {
      this.report.record(LimitKind.SmallChunksDelayed);
    });
    this.report = new LimitReport(metrics, clock, logger, () => ({
      heldBytes: this.memory.usedBytes,
      connections: this.connections.size,
      requests: this.openRequests.size,
    }));
    this.memory.onDrop = (kind) => {
      this.report.record(
        kind === HeldBytes.Unread ? LimitKind.UnreadDropped : LimitKind.ArrivingDropped,
      );
    };
    metrics.addGauge(
      "caller_memory_bytes",
      "Memory that callers' bytes hold",
      () => this.memory.usedBytes,
    );
    metrics.addGauge(
      "caller_memory_limit_bytes",
      "Limit of the memory that callers' bytes hold",
      () => limits.memoryBytes,
    );
    metrics.addGauge("caller_connections", "Connections of callers", () => this.connections.size);
  }

  /// Opens the share of `open`, whose head has arrived and which is counted among the open requests.
  /// Returns a refusal if there is no room for it.
  admit(open: OpenRequest): RouterError | undefined {
    if (this.openRequests.size > this.limits.requests && !this.memory.dropStalled()) {
      this.report.record(LimitKind.TooManyRequests);
      return createNoRoomError("Too many requests are in progress.");
    }
    const share = this.memory.open(() => {
      this.giveUp(open, share);
    });
    open.share = share;
    share.recordProgress(requestBytes);
    if (share.resize(requestBytes)) return undefined;
    return this.refuseForMemory();
  }

  /// Reads the body of `open`, whose memory is in its share. Throws a `RouterError` if it does not
  /// arrive as a whole.
  async receiveBody(
    request: http.IncomingMessage,
    open: OpenRequest,
    maximumBytes: number,
  ): Promise<MessageBody> {
    const { share, signal } = open;
    const announced = request.headers["content-length"];
    if (share !== undefined && announced !== undefined) share.missingBytes = Number(announced);
    const body = await receiveBody(request, {
      maximumBytes,
      signal,
      onChunk: ({ length }) => {
        share?.recordProgress(length);
        if (length < smallChunkBytes) this.smallChunks.count(request.socket, 1);
      },
      memory: {
        allocate: (bytes) =>
          share === undefined || share.add(bytes) ? this.segments.allocate(bytes) : undefined,
        recycle: (buffers) => {
          this.segments.recycle(buffers);
        },
      },
    });
    if (body.isOk) {
      share?.recordRead();
      return body.value;
    }
    if (signal.aborted) throw createEndError(signal, false);
    throw body.error.kind === ErrorKind.CallersLimited ? this.refuseForMemory() : body.error;
  }

  /// Accounts for an answer of `bytes` that is about to be sent. Returns whether there is room.
  holdAnswer({ share }: OpenRequest, bytes: number): boolean {
    if (bytes <= smallestUnreadBytes || share === undefined || share.isReleased) return true;
    if (share.holdUnread(bytes)) return true;
    this.report.record(LimitKind.UnreadDropped);
    return false;
  }

  /// Accounts for what has changed since the last call. To be called in regular intervals, which are
  /// those of the progress that is measured.
  sweep(): void {
    this.memory.sweep();
    this.segments.trim();
    this.connections.sweep();
    for (const open of this.openRequests.list()) this.sweepAnswer(open);
  }

  private refuseForMemory(): RouterError {
    this.report.record(LimitKind.NoMemory);
    return createNoRoomError();
  }

  private sweepAnswer(open: OpenRequest): void {
    const { share, response } = open;
    if (share === undefined || share.isReleased || !response.headersSent) return;
    const unread = response.writableLength;
    const isHeld = share.kind === HeldBytes.Unread;
    if (unread <= smallestUnreadBytes && !isHeld) return;
    if (share.holdUnread(unread <= smallestUnreadBytes ? 0 : unread)) return;
    share.release();
    this.report.record(LimitKind.UnreadDropped);
    this.closeUnread(open);
  }

  private giveUp(open: OpenRequest, share: CallerShare): void {
    switch (share.kind) {
      case HeldBytes.Arriving:
        open.end(RequestEnd.NoRoom);
        return;
      case HeldBytes.Unread:
        this.closeUnread(open);
        return;
      case HeldBytes.InProgress:
        return;
    }
  }

  private closeUnread(open: OpenRequest): void {
    open.endReason = unreadReason;
    const { socket } = open.response;
    if (socket === null) open.response.destroy();
    else socket.resetAndDestroy();
  }
}
