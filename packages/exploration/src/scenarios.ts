//! The decisions that are explored, by name.
import { drawBookings, drawFaults, runClaims } from "./claims-scenario.js";
import type { Scenario } from "./explore.js";
import {
  judgeAnswer,
  judgeBookings,
  judgeMembership,
  judgeOrders,
  judgeSettings,
} from "./judge.js";
import {
  drawMembershipFaults,
  leavingTarget,
  runMembership,
  type MembershipFaults,
  type MembershipHistory,
} from "./membership-scenario.js";
import { drawOrdersFaults, runOrders } from "./orders-scenario.js";
import { drawEngineFault, runPipelines, type PipelineHistory } from "./pipeline-scenario.js";
import { referenceAnswer, tokenize } from "@lovagebend/stand-ins";

import {
  drawChanges,
  drawSettingsFaults,
  runSettings,
  type SettingsHistory,
} from "./settings-scenario.js";

const faultsOneIn = 5;
const engineFaultsOneIn = 12;

/// The broken promises of a history of answers.
export function judgePipelines({ layers, answers }: PipelineHistory): string[] {
  return answers.flatMap(({ prompt, mostTokens, tokens, refusal, hadPath, runs }) => {
    if (refusal !== undefined && hadPath)
      return ["refused though untouched engines hold all layers"];
    const wanted = referenceAnswer(prompt, layers, mostTokens);
    const positions = tokens.length === 0 ? 0 : tokenize(prompt).length + tokens.length - 1;
    return judgeAnswer(tokens, wanted, refusal === undefined, runs, positions, layers);
  });
}

/// The broken promises of a history of settings.
export function judgeSettingsHistory(history: SettingsHistory): string[] {
  const told = history.applied.map(({ mark, outcome }) => ({
    mark,
    kind: outcome.kind,
    revision: outcome.kind === "committed" ? outcome.revision : undefined,
  }));
  return judgeSettings(history.inForce, history.accepted, told, history.stored, history.last);
}

/// The broken promises of a history of targets. A notice that only the platform gives
/// can be read once the list shows it.
export function judgeMembershipHistory(
  { seen }: MembershipHistory,
  faults: MembershipFaults,
): string[] {
  if (faults.tellsItself) return judgeMembership(seen, leavingTarget, faults.leavingAt);
  const listed = faults.leavingAt + faults.listLag;
  const hidden = [faults.listOut, faults.listEmpty, faults.listStale].map(({ until }) => until);
  return judgeMembership(seen, leavingTarget, Math.max(listed, ...hidden));
}

export const scenarios: ReadonlyMap<string, Scenario> = new Map<string, Scenario>([
  [
    "claims",
    async (simulation) => {
      const { runs, told } = await runClaims(
        simulation,
        drawBookings(simulation),
        drawFaults(simulation, faultsOneIn),
      );
      return judgeBookings(runs, told);
    },
  ],
  [
    "pipelines",
    async (simulation) =>
      judgePipelines(
        await runPipelines(simulation, () => drawEngineFault(simulation, engineFaultsOneIn), 2),
      ),
  ],
  [
    "settings",
    async (simulation) =>
      judgeSettingsHistory(
        await runSettings(
          simulation,
          drawChanges(simulation),
          drawSettingsFaults(simulation, faultsOneIn),
        ),
      ),
  ],
  [
    "orders",
    async (simulation) => {
      const { sent, taken } = await runOrders(
        simulation,
        drawOrdersFaults(simulation, faultsOneIn),
      );
      return judgeOrders(sent, taken);
    },
  ],
  [
    "membership",
    async (simulation) => {
      const faults = drawMembershipFaults(simulation, faultsOneIn);
      return judgeMembershipHistory(await runMembership(simulation, faults), faults);
    },
  ],
]);
