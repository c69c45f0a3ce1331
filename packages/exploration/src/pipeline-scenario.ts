//! Scenario for pipelined answers: concurrent answers run over stages whose engines crash,
//! freeze, lose caches, leave, and lose responses.
import { RouterError } from "@lovagebend/common";
import { TargetState } from "@lovagebend/membership";
import { runAnswer, type AnswerOptions } from "@lovagebend/pipeline";
import { tokenize, type RecordedRun } from "@lovagebend/stand-ins";
import { FakeEngine, type EngineFault } from "./fake-engine.js";
import { FakeProcess, type Simulation } from "./simulation.js";

/// The tokens that a caller received and the layer runs for them. `refusal` is the kind of
/// error that ended the answer; `hasFaultFreePath` is true if the engines that had no fault
/// cover all layers.
export interface AnswerHistory {
  readonly prompt: string;
  readonly maximumTokens: number;
  readonly tokens: readonly number[];
  readonly refusal: string | undefined;
  readonly hasFaultFreePath: boolean;
  readonly runs: readonly RecordedRun[];
}

export interface PipelineHistory {
  readonly layers: number;
  readonly answers: readonly AnswerHistory[];
  readonly transcript: readonly string[];
}

/// Changes the options of the production code, so that a test can show which invariant
/// fails without an option.
export type OptionsTransform = (options: AnswerOptions) => AnswerOptions;

const layers = 6;
const layerRanges = [
  [0, 2],
  [0, 2],
  [2, 4],
  [2, 4],
  [4, 6],
  [4, 6],
  [2, 6],
  [0, 4],
] as const;
const prompts = [
  "how thick is the inner cloth",
  "when may the kiln be opened again after the gather",
];
const maximumTokens = 8;
const drawableFaults: readonly EngineFault[] = [
  "crashes",
  "freezes",
  "losesCaches",
  "losesResponse",
  "leaves",
];

/// Draws the fault of a step, with a probability of 1 in `drawsPerFault`.
export function drawEngineFault(simulation: Simulation, drawsPerFault: number): EngineFault {
  if (!simulation.drawOneIn(drawsPerFault)) return "none";
  return drawableFaults[simulation.draw(drawableFaults.length)] ?? "none";
}

/// Runs the first `answerCount` of two answers concurrently.
export async function runPipelines(
  simulation: Simulation,
  chooseFault: (engine: string) => EngineFault,
  answerCount: number,
  transformOptions: OptionsTransform = (options) => options,
): Promise<PipelineHistory> {
  const caller = new FakeProcess("entry");
  const engines = layerRanges.map(
    ([firstLayer, endLayer], index) =>
      new FakeEngine(
        `engine-${index + 1}`,
        simulation,
        caller,
        { firstLayer, endLayer, layers },
        chooseFault,
      ),
  );
  const findEngine = (name: string): FakeEngine | undefined =>
    engines.find((engine) => engine.name === name);
  const options = transformOptions({
    clock: simulation.createClock(caller),
    candidates: () =>
      engines.map((engine) => engine.view).filter(({ state }) => state === TargetState.Serving),
    penalty: () => 0,
    channel: findEngine,
    control: (name) => findEngine(name),
    isLeaving: (name) => findEngine(name)?.isLeaving ?? false,
    recordStep: () => undefined,
    adjustOpenAnswers: () => undefined,
    trySpendRetry: () => true,
    onStageReplaced: ({ lost, reason, replacement, movedPositions }) => {
      simulation.record(
        `entry: ${lost} (${reason}) replaced by ${replacement.join(" ")}, ${movedPositions} moved`,
      );
    },
  });
  const collectAnswer = async (
    prompt: string,
    index: number,
  ): Promise<Omit<AnswerHistory, "hasFaultFreePath">> => {
    const sequencePrefix = `request-${index + 1}`;
    const request = {
      sequencePrefix,
      tokens: tokenize(prompt),
      maximumTokens,
      layers,
      priority: 0,
      prefixKeys: [],
    };
    const tokens: number[] = [];
    let refusal: string | undefined;
    try {
      for await (const token of runAnswer(request, options, new AbortController().signal)) {
        tokens.push(token.token);
        simulation.record(`entry -> caller ${index + 1}: token ${token.token}`);
      }
    } catch (error) {
      if (!(error instanceof RouterError)) throw error;
      refusal = error.kind;
      simulation.record(`entry -> caller ${index + 1}: ${error.kind} ${error.detail}`);
    }
    const allRuns = engines.flatMap((engine) => engine.sequenceTable.recordedRuns);
    const runs = allRuns.filter((run) => run.sequence.startsWith(`${sequencePrefix}.`));
    return { prompt, maximumTokens, tokens, refusal, runs };
  };
  const completedAnswers = await simulation.run(
    Promise.all(prompts.slice(0, answerCount).map(collectAnswer)),
  );
  const hasFaultFreePath = coversAllLayers(
    engines.filter((engine) => !engine.hadFault).map(({ view }) => view),
  );
  const answers = completedAnswers.map((history) => ({ ...history, hasFaultFreePath }));
  return { layers, answers, transcript: simulation.transcript };
}

function coversAllLayers(ranges: readonly { firstLayer: number; endLayer: number }[]): boolean {
  const reachedLayers = new Set([0]);
  for (let layer = 0; layer < layers; layer += 1) {
    if (!reachedLayers.has(layer)) continue;
    for (const range of ranges) if (range.firstLayer === layer) reachedLayers.add(range.endLayer);
  }
  return reachedLayers.has(layers);
}
