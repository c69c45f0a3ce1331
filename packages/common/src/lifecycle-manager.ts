//! Tracks the resources and background tasks of a process and closes them in
//! reverse order of registration at shutdown.
import { setMaxListeners } from "node:events";

interface OwnedItem {
  readonly name: string;
  readonly close: () => Promise<void> | void;
}

/// Owns tasks and resources. `close` aborts the signal of all tasks, then waits for
/// tasks and closes resources, the most recent first; further calls return the same
/// promise. When a resource fails to close, the others are closed nevertheless;
/// `close` resolves to the names of those that failed.
export class LifecycleManager {
  private readonly controller = new AbortController();
  private readonly ownedItems = new Set<OwnedItem>();
  private closing: Promise<string[]> | undefined;

  constructor() {
    // Each task that waits has a listener, so that their number shows no leak.
    setMaxListeners(0, this.signal);
  }

  /// Aborted when `close` is called.
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /// Registers a resource that `close` closes.
  addResource(name: string, close: () => Promise<void> | void): void {
    this.ownedItems.add({ name, close });
  }

  /// Starts a task, which must end when its signal aborts. When it rejects,
  /// `onFailure` is called and the task is not restarted.
  startTask(
    name: string,
    task: (signal: AbortSignal) => Promise<void>,
    onFailure: (name: string, error: unknown) => void,
  ): void {
    const running = task(this.signal)
      .catch((error: unknown) => {
        onFailure(name, error);
      })
      .finally(() => this.ownedItems.delete(ownedTask));
    const ownedTask: OwnedItem = { name, close: () => running.then(() => undefined) };
    this.ownedItems.add(ownedTask);
  }

  close(): Promise<string[]> {
    this.closing ??= this.closeAll();
    return this.closing;
  }

  private async closeAll(): Promise<string[]> {
    this.controller.abort();
    const failed: string[] = [];
    for (const item of [...this.ownedItems].reverse()) {
      try {
        await item.close();
      } catch {
        failed.push(item.name);
      }
    }
    return failed;
  }
}
