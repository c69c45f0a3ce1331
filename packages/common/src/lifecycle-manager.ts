//! Ownership and clean-up: whatever a process opens or starts is handed to the
//! life-cycle manager, which ends it in reverse order.

interface Owned {
  readonly name: string;
  readonly close: () => Promise<void> | void;
}

/// Owns tasks and resources. `close` aborts the signal of all tasks, waits for
/// them and closes resources, the latest first; calling it again waits for the
/// same closing. A resource that fails to close does not keep others open: the
/// names of those that failed are returned.
export class LifecycleManager {
  private readonly controller = new AbortController();
  private readonly owned = new Set<Owned>();
  private closing: Promise<string[]> | undefined;

  /// Aborted when closing begins.
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /// Takes ownership of a resource.
  own(name: string, close: () => Promise<void> | void): void {
    this.owned.add({ name, close });
  }

  /// Runs a task until it ends or closing begins. A task that throws is
  /// reported to `onFailure` and not started again.
  run(
    name: string,
    task: (signal: AbortSignal) => Promise<void>,
    onFailure: (name: string, error: unknown) => void,
  ): void {
    const running = task(this.signal)
      .catch((error: unknown) => {
        onFailure(name, error);
      })
      .finally(() => this.owned.delete(owned));
    const owned: Owned = { name, close: () => running.then(() => undefined) };
    this.owned.add(owned);
  }

  close(): Promise<string[]> {
    this.closing ??= this.closeAll();
    return this.closing;
  }

  private async closeAll(): Promise<string[]> {
    this.controller.abort();
    const failed: string[] = [];
    for (const item of [...this.owned].reverse()) {
      try {
        await item.close();
      } catch {
        failed.push(item.name);
      }
    }
    return failed;
  }
}
