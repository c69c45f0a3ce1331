//! The priority of a request in the notation of model engines: a whole number from 0, the most
//! urgent, to 9.

const lowestEnginePriority = 9;

/// The engines' notation of `priority`, a number that the operator's document may choose freely.
export function toEnginePriority(priority: number): number {
  return Math.min(lowestEnginePriority, Math.max(0, Math.trunc(priority)));
}
