//! How much work may run at once: found by watching the time between tokens, since
//! engines report their load late.
import type { Milliseconds } from "@lovagebend/common";

/// One reading: the mean time between tokens since the last one, whether requests
/// were waiting, and the work running and allowed, in tokens.
export interface CapacityReading {
  readonly tokenInterval: Milliseconds | undefined;
  readonly wantedInterval: Milliseconds;
  readonly waiting: boolean;
  readonly capacity: number;
  readonly floor: number;
}

const strongestCut = 0.7;
const growth = 1.1;

/// The work that may run from now on. It shrinks in proportion when tokens come too
/// slowly and grows by a tenth when work waits while they come fast enough; it never
/// falls below `floor`.
export function nextCapacity(reading: CapacityReading): number {
  const { tokenInterval, wantedInterval, waiting, capacity, floor } = reading;
  if (tokenInterval === undefined) return Math.max(floor, capacity);
  if (tokenInterval > wantedInterval) {
    const cut = Math.max(strongestCut, wantedInterval / tokenInterval);
    return Math.max(floor, capacity * cut);
  }
  return Math.max(floor, waiting ? capacity * growth : capacity);
}
