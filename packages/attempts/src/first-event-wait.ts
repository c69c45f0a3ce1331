//! The wait of one dispatch for its first event, which shows how late the targets of its path are.
import type { Milliseconds } from "@lovagebend/common";
import type { PathPart } from "@lovagebend/routing";
import type { AwaitedEvent, FirstEventLateness } from "./first-event-lateness.js";
import type { TargetRegistry } from "./target-registry.js";

export class FirstEventWait {
  private readonly event: AwaitedEvent;
  // Those of the processes to which the request was sent. Empty when the wait is over.
  private latenesses: readonly FirstEventLateness[];

  constructor(
    path: readonly PathPart[],
    sentAt: Milliseconds,
    readonly expected: Milliseconds,
    targetRegistry: TargetRegistry,
  ) {
    this.event = { sentAt, dueAt: sentAt + expected };
    this.latenesses = path.map(({ target }) => targetRegistry.getFirstEventLateness(target));
    for (const lateness of this.latenesses) lateness.await(this.event);
  }

  recordEvent(now: Milliseconds): void {
    for (const lateness of this.latenesses) lateness.recordEvent(this.event, now);
    this.latenesses = [];
  }

  /// Records that the caller left or its deadline passed.
  recordAbandoned(now: Milliseconds): void {
    for (const lateness of this.latenesses) lateness.recordAbandoned(this.event, now);
    this.latenesses = [];
  }

  /// Ends the wait, whose further duration shows nothing of the path.
  cancel(): void {
    for (const lateness of this.latenesses) lateness.cancel(this.event);
    this.latenesses = [];
  }
}
