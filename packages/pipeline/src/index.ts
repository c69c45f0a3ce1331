//! Answers over pipelines of engines: the step channel and control calls of each engine, and
//! the generation of an answer across stages, with replacement of lost stages.
export {
  EngineChannel,
  type EngineAddress,
  type Step,
  type StepChannel,
  type StepFailure,
} from "./engine-channel.js";
export { Purpose, type StepOutput, type StepResult, type OutputToken } from "./engine-protocol.js";
export { runAnswer, type AnswerOptions, type AnswerRequest, type AnswerToken } from "./answer.js";
export { EngineDirectory, type EngineControl } from "./engine-directory.js";
export {
  httpEngineControl,
  type CacheTransfer,
  type EngineState,
  type ExportedCache,
} from "./engine-control.js";
export { ResumeKey, type ResumePosition } from "./resume-token.js";
