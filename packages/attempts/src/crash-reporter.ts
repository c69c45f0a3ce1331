//! Reports the crash of a target with the prompts of the answers that were starting on it.
//! A closed connection alone does not show that the target's process has ended, so the target
//! is queried.
import type { Clock, Logger } from "@lovagebend/common";
import type { PromptQuarantine } from "@lovagebend/quarantine";
import type { EngineCalls, RoutedRequest } from "./routed-request.js";
import type { Target } from "./target-registry.js";

export class CrashReporter {
  private readonly queries = new Map<string, Promise<boolean>>();

  constructor(
    private readonly engines: EngineCalls,
    private readonly quarantine: PromptQuarantine,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /// Must be called when `target` breaks off the start of an answer to `request`. Resolves when
  /// it is known whether the target's process has ended.
  async reportBrokenStart(
    target: Target,
    request: RoutedRequest,
    hasEvents: boolean,
  ): Promise<void> {
    if (!(await this.hasEnded(target))) return;
    const crash = `${target.name}/${target.born}`;
    this.quarantine.recordCrash(crash, request.sharedPromptParts, this.clock.monotonicTime());
    this.logger.warn("target ended while an answer was starting", {
      request: request.id,
      target: target.name,
      born: target.born,
      promptParts: request.sharedPromptParts,
      hasEvents,
    });
  }

  /// Whether the process of `target` has ended. Queries at the same time are shared.
  hasEnded(target: Target): Promise<boolean> {
    const existing = this.queries.get(target.name);
    if (existing !== undefined) return existing;
    const query = this.engines
      .readProcessStart(target)
      .then((born) => !born.isOk || born.value !== target.born)
      .finally(() => {
        this.queries.delete(target.name);
      });
    this.queries.set(target.name, query);
    return query;
  }
}
