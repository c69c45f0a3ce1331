//! What the head of any answer says of the target that gave it.
import type { Milliseconds } from "@lovagebend/common";
import type { TargetResponse } from "@lovagebend/forwarding";
import type { Target } from "./observed-target.js";
import type { AttemptServices } from "./routed-request.js";

// Another process may have answered: one that has taken the address, or one behind on the path.
const otherTargetStatus = 421;

/// Records the answer of `target` to a request that was sent at `sentAt`.
export function recordAnswerHead(
  target: Target,
  { message, status }: TargetResponse,
  sentAt: Milliseconds,
  { targetRegistry, requestLimiter, headerNames }: AttemptServices,
): void {
  const { headers } = message;
  targetRegistry.recordResponse(target.name);
  requestLimiter.recordAnswer(target, headers[headerNames.requestLimit]?.toString(), sentAt);
  if (headers[headerNames.leaving] === "1" && status !== otherTargetStatus)
    targetRegistry.recordLeaving(target.name, target.born);
}
