//! How much work each workspace asks for at this entry VM.
import type { Milliseconds } from "@lovagebend/common";

const window: Milliseconds = 300;
const negligible = 0.01;
const millisecondsPerSecond = 1_000;

/// Exponentially weighted rates of asked-for work, refused work included.
export class DemandMeter {
  private readonly rates = new Map<string, number>();
  private readonly asked = new Map<string, number>();
  private last: Milliseconds;

  constructor(now: Milliseconds) {
    this.last = now;
  }

  /// Counts `tokens` that a workspace asked for.
  ask(workspace: string, tokens: number): void {
    this.asked.set(workspace, (this.asked.get(workspace) ?? 0) + tokens);
  }

  /// The rates in tokens a second as of `now`; workspaces at rest are left out.
  rotate(now: Milliseconds): ReadonlyMap<string, number> {
    const elapsed = Math.max(1, now - this.last);
    this.last = now;
    const weight = 1 - Math.exp(-elapsed / window);
    for (const workspace of new Set([...this.rates.keys(), ...this.asked.keys()])) {
      const before = this.rates.get(workspace) ?? 0;
      const latest = ((this.asked.get(workspace) ?? 0) * millisecondsPerSecond) / elapsed;
      const rate = before + weight * (latest - before);
      if (rate < negligible) this.rates.delete(workspace);
      else this.rates.set(workspace, rate);
    }
    this.asked.clear();
    return new Map(this.rates);
  }
}
