//! What is known of a streamed answer while its dispatches are at work.
import type { Milliseconds } from "@lovagebend/common";
import { findPatience } from "./caller-departure.js";
import type { AttemptServices, CallerAnswer, RoutedRequest } from "./routed-request.js";
import type { StreamDispatch } from "./stream-dispatch.js";
import { StreamPauses } from "./stream-pauses.js";

export class AnswerState {
  lastEventId: string | undefined;
  lastEventAt: Milliseconds = -Infinity;
  readonly excludedTargets: string[] = [];
  /// The dispatch that writes the answer.
  current: StreamDispatch | undefined;
  /// A dispatch that may continue the answer of a silent engine.
  successor: StreamDispatch | undefined;
  /// The dispatches on which an engine may have run the request.
  readonly runs = new Set<StreamDispatch>();
  /// Whether an engine may have run the request, even if no answer arrived.
  mayHaveRun = false;
  dispatches = 0;
  /// Whether an engine has written the answer for longer than its start.
  hasLived = false;
  /// Why the latest dispatch gave no whole answer.
  reason = "";
  readonly pauses: StreamPauses;
  /// When the caller leaves if no event reaches it.
  readonly callerLeavesAt: Milliseconds;

  constructor(
    readonly request: RoutedRequest,
    readonly answer: CallerAnswer,
    readonly services: AttemptServices,
  ) {
    const now = services.clock.monotonicTime();
    this.pauses = new StreamPauses(now);
    this.callerLeavesAt = Math.min(request.deadline, now + findPatience(request.route));
  }
}
