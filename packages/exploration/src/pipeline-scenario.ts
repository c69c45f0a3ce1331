//! Answers over pipelines whose engines die, freeze, forget, leave and lose answers.
import { RouterError } from "@lovagebend/common";
import { TargetState } from "@lovagebend/membership";
import { runAnswer, type AnswerOptions } from "@lovagebend/pipeline";
import { tokenize, type Run } from "@lovagebend/stand-ins";
import { FakeEngine, type EngineFault } from "./fake-engine.js";
import { FakeProcess, type Simulation } from "./world.js";

/// What a caller got, and what ran for it. `refusal` is the error that ended it;
/// `hadPath` whether engines that nothing ever happened to hold all layers.
export interface AnswerHistory {
  readonly prompt: string;
  readonly mostTokens: number;
  readonly tokens: readonly number[];
  readonly refusal: string | undefined;
  readonly hadPath: boolean;
  readonly runs: readonly Run[];
}

export interface PipelineHistory {
  readonly layers: number;
  readonly answers: readonly AnswerHistory[];
  readonly transcript: readonly string[];
}

/// Lets a test change what the product's task is given, to show what then breaks.
export type OptionsChange = (options: AnswerOptions) => AnswerOptions;

const layers = 6;
const ranges = [
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
const mostTokens = 8;
const faults: readonly EngineFault[] = ["dies", "freezes", "forgets", "answerLost", "leaves"];

/// A fault for one step in `oneIn`.
export function drawEngineFault(simulation: Simulation, oneIn: number): EngineFault {
  if (!simulation.drawOneIn(oneIn)) return "none";
  return faults[simulation.draw(faults.length)] ?? "none";
}

/// Runs two answers at once, the second with `answerCount` 2.
export async function runPipelines(
  simulation: Simulation,
  nextFault: (engine: string) => EngineFault,
  answerCount: number,
  change: OptionsChange = (options) => options,
): Promise<PipelineHistory> {
  const caller = new FakeProcess("entry");
  const engines = ranges.map(
    ([firstLayer, endLayer], index) =>
      new FakeEngine(
        `engine-${index + 1}`,
        simulation,
        caller,
        { firstLayer, endLayer, layers },
        nextFault,
      ),
  );
  const find = (name: string): FakeEngine | undefined =>
    engines.find((engine) => engine.name === name);
  const options = change({
    clock: simulation.createClock(caller),
    candidates: () =>
      engines.map((engine) => engine.view).filter(({ state }) => state === TargetState.Serving),
    penalty: () => 0,
    channel: find,
    control: (name) => find(name),
    isLeaving: (name) => find(name)?.isLeaving ?? false,
    noteStep: () => undefined,
    noteOpen: () => undefined,
    mayReplace: () => true,
    onReplaced: ({ lost, reason, replacement, movedPositions }) => {
      simulation.record(
        `entry: ${lost} (${reason}) gives way to ${replacement.join(" ")}, ${movedPositions} moved`,
      );
    },
  });
  const answer = async (prompt: string, index: number): Promise<Omit<AnswerHistory, "hadPath">> => {
    const sequencePrefix = `request-${index + 1}`;
    const request = {
      sequencePrefix,
      tokens: tokenize(prompt),
      mostTokens,
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
    const all = engines.flatMap((engine) => engine.table.record);
    const runs = all.filter((run) => run.sequence.startsWith(`${sequencePrefix}.`));
    return { prompt, mostTokens, tokens, refusal, runs };
  };
  const ended = await simulation.run(Promise.all(prompts.slice(0, answerCount).map(answer)));
  const hadPath = isReachable(
    engines.filter((engine) => !engine.wasStruck).map(({ view }) => view),
  );
  const answers = ended.map((history) => ({ ...history, hadPath }));
  return { layers, answers, transcript: simulation.transcript };
}

function isReachable(ranges: readonly { firstLayer: number; endLayer: number }[]): boolean {
  const reached = new Set([0]);
  for (let layer = 0; layer < layers; layer += 1) {
    if (!reached.has(layer)) continue;
    for (const range of ranges) if (range.firstLayer === layer) reached.add(range.endLayer);
  }
  return reached.has(layers);
}
