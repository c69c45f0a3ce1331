//! Moves a stream off its engines: to another path behind the same first engine, or to another
//! first engine. An engine that is only silent keeps the stream until its successor continues it.
import { runDetached } from "@lovagebend/common";
import { isRetryable } from "@lovagebend/catalog";
import type { AnswerState } from "./answer-state.js";
import { recordOutcome } from "./dispatch-record.js";
import type { EnginePath } from "./engine-path.js";
import { maximumDispatchesBeforeBegin, type PathSearch } from "./path-search.js";
import { findPromptRefusal } from "./prompt-admission.js";
import type { StreamDispatch } from "./stream-dispatch.js";
import { DispatchEnd } from "./stream-outcome.js";
import { formatParts } from "./stream-log.js";
import { Urgency } from "./stream-watch.js";

export class DispatchSuccession {
  constructor(
    private readonly state: AnswerState,
    private readonly search: PathSearch,
    private readonly createDispatch: (path: EnginePath) => StreamDispatch,
  ) {}

  /// Moves the answer off the `excluded` targets: to another path behind the same first engine
  /// if there is one, otherwise by resuming it on another path if `urgency` requires it.
  async reroute(excluded: readonly string[], reason: string, urgency: Urgency): Promise<void> {
    const { request, services, current } = this.state;
    const { targetRegistry, engines, logger, formatPath } = services;
    const firstPart = current?.path.first;
    if (current === undefined || firstPart === undefined) return;
    const address = targetRegistry.get(firstPart.target);
    if (address === undefined || excluded.includes(firstPart.target)) {
      await this.moveToAnotherEngine(current, urgency, excluded);
      return;
    }
    const path = this.search.chooseReroute(firstPart, excluded);
    if (path !== undefined) {
      const change = await engines.changePath(address, request.id, formatPath(path));
      logger.info("path changed", {
        request: request.id,
        avoid: excluded,
        reason,
        urgency,
        path: formatParts(path.parts),
        outcome: change,
      });
      switch (change.kind) {
        case "changed":
          current.recordReroute(path);
          this.recordMove();
          return;
        case "refused": {
          const { address: refusing } = change;
          const target = refusing === undefined ? undefined : path.findTarget(refusing);
          if (target !== undefined) targetRegistry.recordRefusal(target);
          break;
        }
        case "unknown":
          break;
      }
    }
    if (urgency === Urgency.Now) await this.moveToAnotherEngine(current, urgency, excluded);
  }

  /// Makes the successor the dispatch that writes the answer.
  promoteSuccessor(): void {
    const { state } = this;
    const { current, successor } = state;
    if (successor === undefined) return;
    if (current !== undefined) state.runs.add(current);
    state.current = successor;
    state.successor = undefined;
    state.request.progress.recordOffer(successor.target.name);
    successor.watch();
    this.recordMove();
    current?.drop(DispatchEnd.Replaced);
  }

  private recordMove(): void {
    const { pauses, services } = this.state;
    pauses.recordMove(services.clock.monotonicTime());
  }

  // Moves the answer to another first engine, if the request may be dispatched again now.
  private async moveToAnotherEngine(
    current: StreamDispatch,
    urgency: Urgency,
    excluded: readonly string[],
  ): Promise<void> {
    const { request, answer, successor, runs, dispatches, excludedTargets } = this.state;
    const { route } = request;
    if (successor !== undefined || current.isDropped) return;
    // The current dispatch counts as an execution.
    if (!isRetryable(route) || runs.size + 1 >= route.maximumAttempts) return;
    if (!answer.hasBegun && dispatches >= maximumDispatchesBeforeBegin) return;
    const avoided = [...excludedTargets, ...excluded, current.target.name];
    switch (urgency) {
      case Urgency.WhileItRuns:
        return;
      case Urgency.Soon:
        // While the engine writes, no other one can continue after its last event.
        if (!this.search.paths.hasPathWithoutRefusing(avoided) || !this.search.payRetry()) return;
        current.drop(DispatchEnd.EngineLeaves);
        return;
      case Urgency.Now:
        await this.offerToSuccessor(current, avoided);
    }
  }

  // The current dispatch goes on, because a silent engine may continue after a second or so, and
  // the other one may refuse.
  private async offerToSuccessor(
    current: StreamDispatch,
    avoided: readonly string[],
  ): Promise<void> {
    const { state, search } = this;
    if (!search.paths.hasPathWithoutRefusing(avoided) || !search.payRetry()) return;
    const chosen = await search.paths.chooseWithoutRefusing(avoided);
    if (chosen === undefined || current !== state.current || current.isOver) return;
    const path = search.resolve(chosen);
    if (path === undefined || current.isDropped || findPromptRefusal(state) !== undefined) return;
    const successor = this.createDispatch(path);
    state.successor = successor;
    runDetached(state.services.logger, "successor of a dispatch", this.observe(successor));
  }

  private async observe(successor: StreamDispatch): Promise<void> {
    const { state } = this;
    const outcome = await successor.outcome;
    if (successor !== state.successor) return;
    // The engine that continues the answer had nothing to add to it, and has marked its end.
    if (outcome.kind === "ended" && !successor.isDropped) {
      this.promoteSuccessor();
      return;
    }
    state.successor = undefined;
    await recordOutcome(state, successor, outcome);
  }
}
