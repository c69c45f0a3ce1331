//! Work that nobody waits for. An error in it is logged and must not end the process.
import type { Logger } from "./logger.js";

/// Logs `task failed` if `work` rejects.
export function runDetached(logger: Logger, task: string, work: PromiseLike<unknown>): void {
  work.then(undefined, (error: unknown) => {
    logTaskFailure(logger, task, error);
  });
}

/// Returns `handler` as a callback that logs `task failed` instead of throwing.
export function guardCallback<Arguments extends unknown[]>(
  logger: Logger,
  task: string,
  handler: (...values: Arguments) => void,
): (...values: Arguments) => void {
  return (...values) => {
    try {
      handler(...values);
    } catch (error) {
      logTaskFailure(logger, task, error);
    }
  };
}

function logTaskFailure(logger: Logger, task: string, error: unknown): void {
  logger.error("task failed", { task, detail: String(error) });
}
