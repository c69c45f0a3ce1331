//! Forwards requests to targets: builds the headers, pools connections, performs one
//! exchange with one target, and splits event streams into events.
export type { HeaderNames } from "./header-names.js";
export { AnswerMemory, type AnswerShare } from "./answer-memory.js";
export {
  responseHeaders,
  requestHeaders,
  relayedHeaders,
  relayMarks,
  type ForwardedRequest,
  type RouterHeaders,
} from "./forwarded-headers.js";
export { TargetConnections } from "./target-connections.js";
export { probeConnection, ProbeResult } from "./connection-probe.js";
export { ConnectionKind, ExchangeResult, type ExchangeReport } from "./exchange-report.js";
export {
  sendToTarget,
  readBody,
  type ExchangeOutcome,
  type TargetRequest,
  type TargetResponse,
} from "./target-exchange.js";
export { EventSplitter, type CompleteEvents } from "./event-splitter.js";
