//! Tasks that come and go with the settings, one for each key.
import type { LifecycleManager } from "@lovagebend/common";

type Task = (signal: AbortSignal) => Promise<void>;

/// Runs a task for each key that is wanted and ends those that no longer are.
export class KeyedTasks {
  private readonly running = new Map<string, AbortController>();

  constructor(
    private readonly lifecycle: LifecycleManager,
    private readonly onFailure: (name: string, error: unknown) => void,
  ) {
    lifecycle.signal.addEventListener("abort", () => {
      this.configure(new Map());
    });
  }

  configure(wanted: ReadonlyMap<string, Task>): void {
    for (const [key, controller] of this.running) {
      if (wanted.has(key)) continue;
      controller.abort();
      this.running.delete(key);
    }
    if (this.lifecycle.signal.aborted) return;
    for (const [key, task] of wanted) {
      if (this.running.has(key)) continue;
      const controller = new AbortController();
      this.running.set(key, controller);
      this.lifecycle.run(key, () => task(controller.signal), this.onFailure);
    }
  }
}
