//! The components that the request handlers share.
import type { BurnCounts } from "@lovagebend/burn";
import type { ClaimLedger } from "@lovagebend/claims";
import type { Clock, Logger } from "@lovagebend/common";
import type { RetryBudget } from "@lovagebend/limits";
import type { EngineDirectory, ResumeKey } from "@lovagebend/pipeline";
import type { PrefixIndex } from "@lovagebend/routing";
import type { AdmissionController } from "./admissions.js";
import type { FleetTracker } from "@lovagebend/membership";
import type { Metrics } from "./metrics.js";
import type { Neighbourhood } from "@lovagebend/membership";
import type { RequestGate } from "./request-gate.js";
import type { SettingsKeeper } from "@lovagebend/settings";

export interface Router {
  readonly instance: string;
  readonly dataCentre: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly settings: SettingsKeeper;
  readonly fleet: FleetTracker;
  readonly neighbourhood: Neighbourhood;
  readonly engines: EngineDirectory;
  readonly prefixes: PrefixIndex;
  readonly admissions: AdmissionController;
  readonly claims: ClaimLedger;
  readonly retryBudget: RetryBudget;
  readonly burn: BurnCounts;
  readonly resumeKey: ResumeKey;
  readonly gate: RequestGate;
  readonly createId: () => string;
  readonly isStopping: () => boolean;
}

/// An authenticated request: its identifier, its workspace and the routes that the
/// workspace may use.
export interface CallerRequest {
  readonly id: string;
  readonly workspace: string;
  readonly routes: readonly string[];
}
