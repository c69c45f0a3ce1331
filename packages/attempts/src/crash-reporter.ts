//! Reports the crash of a target with the prompts of the answers that were starting on it.
//! A closed connection alone does not show that the target's process has ended, so the target
//! is queried.
import type { Clock, Logger, Milliseconds } from "@lovagebend/common";
import type { PromptQuarantine } from "@lovagebend/quarantine";
import type { EngineCalls, ProcessState, RoutedRequest } from "./routed-request.js";
import type { Target } from "./observed-target.js";

const queryInterval: Milliseconds = 100;

export class CrashReporter {
  private readonly queries = new Map<string, Promise<ProcessState>>();
  // Those that begin when the one in progress has ended.
  private readonly nextQueries = new Map<string, Promise<ProcessState>>();

  constructor(
    private readonly engines: EngineCalls,
    private readonly quarantine: PromptQuarantine,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /// Must be called when `target` breaks off the start of an answer to `request`. Returns whether the
  /// target's process has ended.
  async reportBrokenStart(
    target: Target,
    request: RoutedRequest,
    hasEvents: boolean,
  ): Promise<boolean> {
    if (!(await this.hasEnded(target))) return false;
    const crash = `${target.name}/${target.born}`;
    this.quarantine.recordCrash(crash, request.sharedPromptParts, this.clock.monotonicTime());
    this.logger.warn("target ended while an answer was starting", {
      request: request.id,
      target: target.name,
      born: target.born,
      promptParts: request.sharedPromptParts,
      hasEvents,
    });
    return true;
  }

  /// Whether the process of `target` has ended. A target without a usable answer counts as ended
  /// if it gives none for longer than `patience`. Queries that begin at the same time are shared.
  async hasEnded(target: Target, patience: Milliseconds = 0): Promise<boolean> {
    const deadline = this.clock.monotonicTime() + patience;
    for (;;) {
      const state = await this.queryProcess(target);
      switch (state.kind) {
        case "running":
          return state.born !== target.born;
        case "none":
          return true;
        case "unknown":
          if (this.clock.monotonicTime() >= deadline) return true;
          await this.clock.sleep(queryInterval);
      }
    }
  }

  /// Whether it is certain that the process of `target` has ended. A target without a usable answer
  /// counts as running, since only engines have to report.
  async isKnownToHaveEnded(target: Target): Promise<boolean> {
    const state = await this.queryProcess(target);
    switch (state.kind) {
      case "running":
        return state.born !== target.born;
      case "none":
        return true;
      case "unknown":
        return false;
    }
  }

  // A target may have run when a query was sent, and have ended since.
  private queryProcess(target: Target): Promise<ProcessState> {
    const { name } = target;
    const current = this.queries.get(name);
    if (current === undefined) return this.startQuery(target);
    const next =
      this.nextQueries.get(name) ??
      current.then(() => {
        this.nextQueries.delete(name);
        return this.startQuery(target);
      });
    this.nextQueries.set(name, next);
    return next;
  }

  private startQuery(target: Target): Promise<ProcessState> {
    const query = this.engines.readProcessState(target).finally(() => {
      this.queries.delete(target.name);
    });
    this.queries.set(target.name, query);
    return query;
  }
}
