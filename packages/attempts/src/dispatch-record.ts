//! Records what the outcome of a dispatch shows of its engines and of the request.
import { runDetached } from "@lovagebend/common";
import type { AnswerState } from "./answer-state.js";
import type { StreamDispatch } from "./stream-dispatch.js";
import type { StreamOutcome } from "./stream-outcome.js";
import { logDispatch } from "./stream-log.js";

export async function recordOutcome(
  state: AnswerState,
  dispatch: StreamDispatch,
  outcome: StreamOutcome,
): Promise<void> {
  const { services, request, runs, excludedTargets } = state;
  if (dispatch === state.current && outcome.kind !== "ended")
    state.pauses.recordBreak(services.clock.monotonicTime());
  logDispatch(state, dispatch, outcome);
  state.mayHaveRun ||= dispatch.mayHaveRun;
  if ("reason" in outcome) state.reason = outcome.reason;
  if ("reason" in outcome && dispatch === state.current)
    request.progress.recordFailure(outcome.reason);
  switch (outcome.kind) {
    case "ended":
      if (dispatch !== state.current) runs.add(dispatch);
      return;
    case "notRun":
      if (outcome.refusedBy !== undefined) excludedTargets.push(outcome.refusedBy);
      return;
    case "failed":
      runs.add(dispatch);
      return;
    case "broken": {
      if (outcome.hasRun) runs.add(dispatch);
      if (outcome.isOwnEnd) return;
      excludedTargets.push(dispatch.target.name);
      services.targetRegistry.suspect(dispatch.target.name, outcome.reason);
      const report = reportBrokenStart(state, dispatch);
      // Otherwise the report decides on the next dispatch only while the prompt may be at fault.
      if (outcome.hasRun && state.hasLived) {
        runDetached(services.logger, "crash report", report);
        return;
      }
      const hasEnded = await report;
      // An engine that goes on may have run the request whose answer was lost.
      if (!hasEnded) runs.add(dispatch);
    }
  }
}

// Returns whether the engine has ended at the start of the answer.
async function reportBrokenStart(
  { services, request }: AnswerState,
  { target, start }: StreamDispatch,
): Promise<boolean> {
  if (start.isOver) return false;
  return services.crashReporter.reportBrokenStart(target, request, start.hasEvents);
}
