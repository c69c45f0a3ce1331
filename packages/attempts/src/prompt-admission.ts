//! Keeps a stream whose prompt may end engines from being offered.
import { ErrorKind } from "@lovagebend/common";
import type { Admission } from "@lovagebend/quarantine";
import { breakOff, checkEnded, createRefusal } from "./answer-refusal.js";
import type { AnswerState } from "./answer-state.js";
import { AnswerEnd } from "./stream-end.js";

export type PromptRefusal = Exclude<Admission, { kind: "admitted" }>;

/// Returns why the prompt is not admitted. An answer that has lived shows that its prompt is sound.
export function findPromptRefusal(state: AnswerState): PromptRefusal | undefined {
  if (state.hasLived) return undefined;
  const { quarantine, clock, holdsTrial } = state.services;
  const { sharedPromptParts } = state.request;
  const admission = quarantine.admit(sharedPromptParts, clock.monotonicTime(), holdsTrial);
  return admission.kind === "admitted" ? undefined : admission;
}

/// Throws if a part of the prompt of an answer that has not begun is not admitted.
export function assertPromptAdmitted(state: AnswerState): void {
  const refusal = findPromptRefusal(state);
  if (refusal === undefined) return;
  recordRefusal(state, refusal);
  const { retryAfter } = refusal;
  throw createRefusal(state, ErrorKind.PromptQuarantined, state.reason, retryAfter / 1_000);
}

/// Has an answer that has begun wait for the evidence that a paused part lacks. Ends the answer if
/// its deadline comes first or if the part is quarantined, and returns whether it has ended.
export async function waitForEvidence(
  state: AnswerState,
  refusal: PromptRefusal,
): Promise<boolean> {
  recordRefusal(state, refusal);
  const { clock } = state.services;
  const { signal, deadline } = state.request;
  const admittedAt = clock.monotonicTime() + refusal.retryAfter;
  if (refusal.kind === "quarantined" || admittedAt >= deadline) {
    breakOff(state, AnswerEnd.PromptQuarantined);
    return true;
  }
  await clock.sleep(refusal.retryAfter, signal);
  return checkEnded(state);
}

function recordRefusal(state: AnswerState, { kind, part }: PromptRefusal): void {
  state.services.logger.warn("prompt not admitted", {
    request: state.request.id,
    reason: kind,
    part,
  });
  state.reason = `Part ${part} is ${kind}.`;
}
