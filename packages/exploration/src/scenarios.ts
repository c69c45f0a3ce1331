//! The decisions that are explored, by name.
import { drawBookings, drawFaults, runClaims } from "./claims-scenario.js";
import type { Scenario } from "./explore.js";
import { judgeAnswer, judgeBookings } from "./judge.js";
import { drawEngineFault, runPipelines, type PipelineHistory } from "./pipeline-scenario.js";
import { referenceAnswer, tokenize } from "@lovagebend/stand-ins";

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

export const scenarios: ReadonlyMap<string, Scenario> = new Map<string, Scenario>([
  [
    "claims",
    async (world) => {
      const { runs, told } = await runClaims(
        world,
        drawBookings(world),
        drawFaults(world, faultsOneIn),
      );
      return judgeBookings(runs, told);
    },
  ],
  [
    "pipelines",
    async (world) =>
      judgePipelines(await runPipelines(world, () => drawEngineFault(world, engineFaultsOneIn), 2)),
  ],
]);
