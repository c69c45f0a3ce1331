//! At-most-once execution of requests that must not be retried. Before such a request is
//! sent, an entry VM claims its idempotency key in the table service. The verdict recorded
//! under the key is final, and a later request with the same key gets the recorded answer.
export { runAtMostOnce, type AtMostOnceAnswer, type AtMostOnceRequest } from "./at-most-once.js";
export { ClaimStore } from "./claim-store.js";
export type { ClaimOutcome, ClaimRequest, ClaimStoreOptions } from "./claim-store.js";
export { ClaimState, claimKey } from "./claim.js";
export type { Claim, Verdict } from "./claim.js";
