//! At most once: a request that must not be repeated is claimed in the table
//! service under its idempotency key before it is sent, and the claim's verdict
//! is final.
export { runAtMostOnce, type OnceAnswer, type OnceRequest } from "./at-most-once.js";
export { ClaimLedger } from "./claim-ledger.js";
export type { ClaimOutcome, ClaimRequest, ClaimLedgerOptions } from "./claim-ledger.js";
export { ClaimState, claimKey } from "./claim.js";
export type { Claim, Verdict } from "./claim.js";
