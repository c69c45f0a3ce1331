//! Request execution on targets: selection, dispatch, retry, rerouting, resumption and
//! failure. Also keeps this entry VM's registry of targets with their health and load.
export type { Target } from "./observed-target.js";
export { TargetRegistry } from "./target-registry.js";
export { answerBuffered } from "./buffered-answer.js";
export { createEndError, isEndedByStop, RequestEnd, stoppingRetrySeconds } from "./request-end.js";
export { answerStreaming } from "./streaming-answer.js";
export type { StreamOutcome } from "./stream-outcome.js";
export { AnswerEnd, findAnswerEnd, type StreamState } from "./stream-end.js";
export { estimateLayerHolder } from "./engine-cost.js";
export { findUnresponsiveTargets, type WatchedStream } from "./unresponsive-targets.js";
export { TargetLinks, type LinkProbe } from "./target-links.js";
export { WaitingRequests, type WaitingRequest } from "./waiting-requests.js";
export { CrashReporter } from "./crash-reporter.js";
export { RequestProgress, type RequestStage } from "./request-progress.js";
export type { LimitOutcome, RequestLimiter, TargetProcess } from "./request-limiter.js";
export type { EnginePath, PartFault } from "./engine-path.js";
export { PauseCause, type StreamMetrics } from "./stream-pauses.js";
export { StreamWatch, Urgency, type ReroutableStream } from "./stream-watch.js";
export type {
  AttemptServices,
  CallerAnswer,
  EngineAddress,
  EngineCalls,
  PathChange,
  ProcessState,
  RoutedRequest,
} from "./routed-request.js";
