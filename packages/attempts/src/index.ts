//! Request execution on targets: selection, dispatch, retry, rerouting, resumption and
//! failure. Also keeps this entry VM's registry of targets with their health and load.
export { TargetBook, type Target } from "./target-book.js";
export { answerPlainly } from "./plain-answer.js";
export { answerWithEvents } from "./stream-answer.js";
export { estimateLayerHolder } from "./engine-cost.js";
export { findUnresponsiveTargets, type WatchedStream } from "./silence.js";
export { StreamWatch, Urgency, type ReroutableStream } from "./stream-watch.js";
export type {
  AttemptServices,
  CallerAnswer,
  EngineAddress,
  EngineCalls,
  Framing,
  PathChange,
  RoutedRequest,
} from "./routed-request.js";
