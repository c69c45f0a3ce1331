//! The admissions of one entry VM to all services.
import type { DecidedAdmission, EngineAdmission } from "./engine-admission.js";
import { FairAdmission } from "./fair-admission.js";
import { PriorityAdmission } from "./priority-admission.js";

/// Who is admitted first while targets refuse requests. `Workspace`: the workspaces share what
/// targets accept. `Priority`: more urgent requests go first, and the workspaces share within a
/// priority.
export enum AdmissionOrder {
  Workspace = "workspace",
  Priority = "priority",
}

export class FairAdmissions {
  /// Called for each decision.
  onDecision: (service: string, decision: DecidedAdmission) => void = () => undefined;
  private readonly admissions = new Map<string, EngineAdmission>();

  constructor(private readonly order = AdmissionOrder.Workspace) {}

  get(service: string): EngineAdmission {
    const existing = this.admissions.get(service);
    if (existing !== undefined) return existing;
    const admission = this.create();
    admission.onDecision = (decision) => {
      this.onDecision(service, decision);
    };
    this.admissions.set(service, admission);
    return admission;
  }

  /// The admissions to the services that have had requests.
  list(): ReadonlyMap<string, EngineAdmission> {
    return this.admissions;
  }

  private create(): EngineAdmission {
    switch (this.order) {
      case AdmissionOrder.Workspace:
        return new FairAdmission();
      case AdmissionOrder.Priority:
        return new PriorityAdmission();
    }
  }
}
