//! The components that the request handlers share.
import type { BurnCounts } from "@lovagebend/burn";
import type { ClaimStore } from "@lovagebend/claims";
import type { Clock, Logger } from "@lovagebend/common";
import type { RetryBudget } from "@lovagebend/limits";
import type { EngineDirectory, ResumeKey } from "@lovagebend/pipeline";
import type { PrefixIndex } from "@lovagebend/routing";
import type { AdmissionController } from "./admission-controller.js";
import type { FleetTracker } from "@lovagebend/membership";
import type { ConnectionTurns } from "./connection-turns.js";
import type { Metrics } from "./metrics.js";
import type { ClusterMembership } from "@lovagebend/membership";
import type { RequestGate } from "./request-gate.js";
import type { SettingsReplica } from "@lovagebend/settings";

export interface Router {
  readonly instance: string;
  readonly dataCentre: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly settings: SettingsReplica;
  readonly fleet: FleetTracker;
  readonly membership: ClusterMembership;
  readonly engines: EngineDirectory;
  readonly prefixes: PrefixIndex;
  readonly admissions: AdmissionController;
  readonly claims: ClaimStore;
  readonly retryBudget: RetryBudget;
  readonly burn: BurnCounts;
  readonly resumeKey: ResumeKey;
  readonly gate: RequestGate;
  readonly turns: ConnectionTurns;
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
