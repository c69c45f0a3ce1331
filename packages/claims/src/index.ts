//! At-most-once execution of requests that must not be retried. Before such a request is
//! sent, an entry VM claims its idempotency key in the table service. The verdict recorded
//! under the key is final, and later requests with the same key get its answer.
export { runAtMostOnce, type OnceAnswer, type OnceRequest } from "./at-most-once.js";
export { ClaimLedger } from "./claim-ledger.js";
export type { ClaimOutcome, ClaimRequest, ClaimLedgerOptions } from "./claim-ledger.js";
export { ClaimState, claimKey } from "./claim.js";
export type { Claim, Verdict } from "./claim.js";
