//! Passing requests on to targets: the headers that travel, connections, one exchange
//! with one target, and the framing of event streams.
export type { HeaderNames } from "./header-names.js";
export {
  answerHeaders,
  outgoingHeaders,
  type ForwardedRequest,
  type SystemHeaders,
} from "./forwarded-headers.js";
export { TargetConnections } from "./target-connections.js";
export {
  sendToTarget,
  readWhole,
  type TargetReply,
  type TargetRequest,
  type TargetResponse,
} from "./target-exchange.js";
export { EventSplitter } from "./event-splitter.js";
