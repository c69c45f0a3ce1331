//! The registry of scenarios that are explored, by name. It connects each scenario with the
//! checker of its history.
import { drawBookings, drawClaimsFaults, runClaims } from "./claims-scenario.js";
import type { Scenario } from "./explore.js";
import {
  checkAnswer,
  checkBookings,
  checkMembership,
  checkOrders,
  checkSettings,
} from "./checker.js";
import {
  drawMembershipFaults,
  leavingTarget,
  runMembership,
  type MembershipFaults,
  type MembershipHistory,
} from "./membership-scenario.js";
import { drawOrdersFaults, runOrders } from "./orders-scenario.js";
import { drawEngineFault, runPipelines, type PipelineHistory } from "./pipeline-scenario.js";
import { computeReferenceAnswer, tokenize } from "@lovagebend/stand-ins";

import {
  drawChanges,
  drawSettingsFaults,
  runSettings,
  type SettingsHistory,
} from "./settings-scenario.js";

const drawsPerFault = 5;
const drawsPerEngineFault = 12;

/// Returns the violations in a history of answers.
export function checkPipelines({ layers, answers }: PipelineHistory): string[] {
  return answers.flatMap(({ prompt, maximumTokens, tokens, refusal, hasFaultFreePath, runs }) => {
    if (refusal !== undefined && hasFaultFreePath)
      return ["refused although engines without faults cover all layers"];
    const expected = computeReferenceAnswer(prompt, layers, maximumTokens);
    const requiredPositions = tokens.length === 0 ? 0 : tokenize(prompt).length + tokens.length - 1;
    return checkAnswer(tokens, expected, refusal === undefined, runs, requiredPositions, layers);
  });
}

/// Returns the violations in a history of settings.
export function checkSettingsHistory(history: SettingsHistory): string[] {
  const responses = history.changeAttempts.map(({ changeId, outcome }) => ({
    changeId,
    kind: outcome.kind,
    revision: outcome.kind === "committed" ? outcome.revision : undefined,
  }));
  return checkSettings(
    history.activations,
    history.acceptedRevisions,
    responses,
    history.storedChanges,
    history.finalRevisions,
  );
}

/// Returns the violations in a history of targets. A notice that only the platform
/// publishes can be read once the list contains it and no list fault hides it.
export function checkMembershipHistory(
  { observations }: MembershipHistory,
  faults: MembershipFaults,
): string[] {
  if (faults.reportsOwnNotice)
    return checkMembership(observations, leavingTarget, faults.leavingAt);
  const noticeListedAt = faults.leavingAt + faults.listLag;
  const listFaultEnds = [faults.listOutage, faults.emptyListSpan, faults.staleListSpan].map(
    ({ until }) => until,
  );
  return checkMembership(observations, leavingTarget, Math.max(noticeListedAt, ...listFaultEnds));
}

export const scenarios: ReadonlyMap<string, Scenario> = new Map<string, Scenario>([
  [
    "claims",
    async (simulation) => {
      const { runs, responses } = await runClaims(
        simulation,
        drawBookings(simulation),
        drawClaimsFaults(simulation, drawsPerFault),
      );
      return checkBookings(runs, responses);
    },
  ],
  [
    "pipelines",
    async (simulation) =>
      checkPipelines(
        await runPipelines(simulation, () => drawEngineFault(simulation, drawsPerEngineFault), 2),
      ),
  ],
  [
    "settings",
    async (simulation) =>
      checkSettingsHistory(
        await runSettings(
          simulation,
          drawChanges(simulation),
          drawSettingsFaults(simulation, drawsPerFault),
        ),
      ),
  ],
  [
    "orders",
    async (simulation) => {
      const { sentOrders, acceptedOrders } = await runOrders(
        simulation,
        drawOrdersFaults(simulation, drawsPerFault),
      );
      return checkOrders(sentOrders, acceptedOrders);
    },
  ],
  [
    "membership",
    async (simulation) => {
      const faults = drawMembershipFaults(simulation, drawsPerFault);
      return checkMembershipHistory(await runMembership(simulation, faults), faults);
    },
  ],
]);
