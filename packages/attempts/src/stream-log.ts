//! The log line of a dispatch of a stream, and the forms in which log lines give paths and times.
import type { Milliseconds } from "@lovagebend/common";
import type { PathPart } from "@lovagebend/routing";
import type { AnswerState } from "./answer-state.js";
import type { FaultyPart } from "./engine-path.js";
import type { StreamDispatch } from "./stream-dispatch.js";
import type { StreamOutcome } from "./stream-outcome.js";

export function logDispatch(
  { request, services, lastEventId, pauses }: AnswerState,
  dispatch: StreamDispatch,
  outcome: StreamOutcome,
): void {
  const { clock, logger } = services;
  logger.info("stream offered", {
    request: request.id,
    path: formatParts(dispatch.path.parts),
    promptParts: request.sharedPromptParts.join(","),
    lastEvent: lastEventId,
    expectedFirstEvent: roundTime(dispatch.expectedFirstEvent),
    firstEventAfter: roundTime(dispatch.firstEventAfter),
    beganAfter: roundTime(pauses.firstEventAfter),
    longestPause: roundTime(pauses.longest),
    pauseCause: pauses.longestCause,
    took: roundTime(clock.monotonicTime() - dispatch.dispatchedAt),
    outcome: outcome.kind,
    ...("reason" in outcome ? { reason: outcome.reason, connection: dispatch.connection } : {}),
  });
}

export function formatParts(path: readonly PathPart[]): string {
  return path.map(({ target, first, end }) => `${target}:${first}-${end}`).join(" ");
}

export function formatFaults(faults: readonly FaultyPart[]): string {
  return faults.map(({ part, fault }) => `${formatParts([part])} ${fault}`).join(", ");
}

export function roundTime(time: Milliseconds | undefined): Milliseconds | undefined {
  return time === undefined ? undefined : Math.round(time);
}
