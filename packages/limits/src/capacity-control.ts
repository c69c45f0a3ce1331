//! Adaptive concurrency limit: the work that may run concurrently follows the observed time
//! between tokens, because engines report their load with a delay.
import type { Milliseconds } from "@lovagebend/common";

/// The input of one adjustment: the mean time between tokens since the previous adjustment
/// (undefined without tokens), the desired interval, whether requests are waiting, and the
/// current and the minimum capacity in tokens.
export interface CapacityReading {
  readonly tokenInterval: Milliseconds | undefined;
  readonly desiredTokenInterval: Milliseconds;
  readonly hasWaitingRequests: boolean;
  readonly capacity: number;
  readonly minimumCapacity: number;
}

const minimumDecreaseFactor = 0.7;
const increaseFactor = 1.1;

/// Returns the new capacity. It decreases in proportion when the token interval is too long,
/// but to no less than `minimumDecreaseFactor` of the current one. It increases by a tenth
/// when requests wait while the interval is short enough. It never falls below
/// `minimumCapacity`.
export function adjustCapacity(reading: CapacityReading): number {
  const { tokenInterval, desiredTokenInterval, hasWaitingRequests, capacity, minimumCapacity } =
    reading;
  if (tokenInterval === undefined) return Math.max(minimumCapacity, capacity);
  if (tokenInterval > desiredTokenInterval) {
    const decreaseFactor = Math.max(minimumDecreaseFactor, desiredTokenInterval / tokenInterval);
    return Math.max(minimumCapacity, capacity * decreaseFactor);
  }
  return Math.max(minimumCapacity, hasWaitingRequests ? capacity * increaseFactor : capacity);
}
