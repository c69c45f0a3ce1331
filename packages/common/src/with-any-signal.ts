//! Ends a task by any of several signals. `AbortSignal.any` does not suit here: it refers weakly to its
//! sources, so that a timeout which nothing else holds is lost, and each call leaves an entry behind at a
//! source that lives as long as the process.

/// Runs `task` with a signal that aborts as soon as one of `signals` has aborted.
export async function withAnySignal<Value>(
  signals: readonly AbortSignal[],
  task: (signal: AbortSignal) => Promise<Value>,
): Promise<Value> {
  const controller = new AbortController();
  const abort = (): void => {
    controller.abort();
  };
  for (const signal of signals) signal.addEventListener("abort", abort);
  if (signals.some((signal) => signal.aborted)) abort();
  try {
    return await task(controller.signal);
  } finally {
    for (const signal of signals) signal.removeEventListener("abort", abort);
  }
}
