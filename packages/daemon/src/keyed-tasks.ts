//! Background tasks that start and stop as the settings change, one for each key.
import type { LifecycleManager } from "@lovagebend/common";

type Task = (signal: AbortSignal) => Promise<void>;

/// Runs one task for each configured key. A task whose key is no longer configured is
/// aborted, and all tasks are aborted when the lifecycle ends.
export class KeyedTasks {
  private readonly controllers = new Map<string, AbortController>();

  constructor(
    private readonly lifecycle: LifecycleManager,
    private readonly onFailure: (name: string, error: unknown) => void,
  ) {
    lifecycle.signal.addEventListener("abort", () => {
      this.configure(new Map());
    });
  }

  configure(tasks: ReadonlyMap<string, Task>): void {
    for (const [key, controller] of this.controllers) {
      if (tasks.has(key)) continue;
      controller.abort();
      this.controllers.delete(key);
    }
    if (this.lifecycle.signal.aborted) return;
    for (const [key, task] of tasks) {
      if (this.controllers.has(key)) continue;
      const controller = new AbortController();
      this.controllers.set(key, controller);
      this.lifecycle.startTask(key, () => task(controller.signal), this.onFailure);
    }
  }
}
