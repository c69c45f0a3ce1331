//! Refuses a request that has been read if the processor of this entry VM has too much to do.
import type { RoutedRequest } from "@lovagebend/attempts";
import {
  ErrorKind,
  RouterError,
  RunState,
  type Clock,
  type Milliseconds,
} from "@lovagebend/common";
import type { AdmissionReport } from "./admission-report.js";
import { ProcessorRefusal, type ProcessorLimit } from "./processor-limit.js";

export interface ProcessorServices {
  readonly processorLimit: ProcessorLimit;
  readonly admissionReport: AdmissionReport;
  readonly clock: Clock;
}

/// Accepts `request`, which then counts until the returned function is called. Throws a `RouterError`
/// if it is refused.
export function acceptByProcessor(
  { workspace = "", deadline }: RoutedRequest,
  { processorLimit, admissionReport, clock }: ProcessorServices,
): (now: Milliseconds) => void {
  const now = clock.monotonicTime();
  const decision = processorLimit.accept(workspace, deadline - now, now);
  switch (decision.kind) {
    case "accepted":
      return decision.release;
    case "refused":
      admissionReport.recordProcessorRefusal(decision.reason);
      throw new RouterError(
        getErrorKind(decision.reason),
        RunState.NotRun,
        `Workspace ${workspace}.`,
        decision.retryAfter / 1_000,
      );
  }
}

function getErrorKind(reason: ProcessorRefusal): ErrorKind {
  switch (reason) {
    case ProcessorRefusal.Share:
      return ErrorKind.ShareExceeded;
    case ProcessorRefusal.Total:
      return ErrorKind.VmBusy;
  }
}
