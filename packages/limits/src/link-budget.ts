//! The share of one entry VM in the links between data centres. The activations of a prompt that
//! crosses a link within a path occupy it for longer than all else, and transfers wait for those
//! before them: once more prompts cross than a link carries, the events of all streams that cross it
//! are late. Each entry VM therefore sends over a link what is its equal share of the capacity. No
//! coordinator is needed.
import type { Milliseconds } from "@lovagebend/common";

/// `bytes` that are to cross a link of `megabitsPerSecond`, which `entryVms` share.
export interface LinkTransfer {
  readonly bytes: number;
  readonly megabitsPerSecond: number;
  readonly entryVms: number;
}

// The rest is for the tokens of answers, and for prompts that are prefilled again.
const prefillShare = 0.7;
// The time for which all entry VMs together may occupy an idle link at once. Callers wait longer than
// that for the next event, and a shorter time would leave most of the link unused, because each of
// many entry VMs has a prompt to send only now and then.
const burstTime: Milliseconds = 1_000;
const bytesPerMillisecondAndMegabit = 125;

interface LinkAllowance {
  readonly bytes: number;
  readonly updatedAt: Milliseconds;
}

export class LinkBudget {
  private readonly allowances = new Map<string, LinkAllowance>();

  /// `random` decides on transfers of which the allowance covers a part.
  constructor(private readonly random: () => number = Math.random) {}

  /// Returns whether a transfer over `link` may be sent, and takes it out of this entry VM's
  /// allowance. The allowance of one of many entry VMs is smaller than a prompt. It then allows a
  /// transfer with the probability of the part that it covers and is spent either way, so that all
  /// entry VMs together send as much as the link carries.
  trySend(
    link: string,
    { bytes, megabitsPerSecond, entryVms }: LinkTransfer,
    now: Milliseconds,
  ): boolean {
    const rate =
      (megabitsPerSecond * bytesPerMillisecondAndMegabit * prefillShare) / Math.max(1, entryVms);
    const known = this.allowances.get(link) ?? { bytes: rate * burstTime, updatedAt: now };
    const available = Math.min(rate * burstTime, known.bytes + (now - known.updatedAt) * rate);
    this.allowances.set(link, { bytes: Math.max(0, available - bytes), updatedAt: now });
    return this.random() * bytes < available;
  }
}
