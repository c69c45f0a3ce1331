//! The limits on what callers may hold of this entry VM: memory, connections, requests in progress and
//! the rate at which discarded bytes are read. The defaults follow from the machine.
import { Result } from "true-myth";

/// What the machine grants to the process.
export interface MachineSize {
  readonly memoryBytes: number;
  readonly descriptors: number;
}

export interface CallerLimits {
  /// For what callers send and have not read, all together.
  readonly memoryBytes: number;
  readonly connections: number;
  readonly requests: number;
  /// Of requests that have been refused before they arrived completely.
  readonly discardBytesPerSecond: number;
  /// The chunks under 512 bytes of bodies that are read in a second, all together.
  readonly smallChunksPerSecond: number;
}

/// The settings of the operator; what is absent gets its default.
export type CallerLimitSettings = { readonly [Name in keyof CallerLimits]?: number | undefined };

interface LimitRange {
  readonly setting: string;
  readonly from: number;
  readonly to: number;
  readonly value: number;
}

export const megabyte = 1024 * 1024;

// A large body is refused beyond three quarters of the memory, so that this admits one of 4 MB.
const smallestMemoryBytes = 8 * megabyte;
const smallestConnections = 16;
const smallestRequests = 4;
// With idle connections alone the process takes up to 108 MB, and V8 collects garbage outside the heap
// when it has counted 64 MB of it. A quarter of the smallest machine, with 250 MB, fits beside these.
const memoryFraction = 0.25;
// What is left is for the exchanges with targets, one for each request in progress, for idle
// connections to targets, and for peers, the store, metrics and readiness checks.
const connectionsFraction = 0.5;
const requestsFraction = 0.2;
// Bounds the connections where descriptors are plentiful.
const memoryOfConnection = 64 * 1024;
// A refused caller is read for a second at most, so that this is four bodies of the largest size.
const discardBytesPerSecond = 16 * megabyte;
// A body of 4 MB in chunks of 24 bytes takes 6 s. Without a bound, 500 callers with such bodies kept a
// core busy for more than a minute, with timers that were up to 241 ms late.
const smallChunksPerSecond = 30_000;
const smallestSmallChunks = 1_000;
const largestSmallChunks = 1_000_000;
const largestDiscardBytesPerSecond = 1_024 * megabyte;

/// Completes `settings` with the defaults for `machine`. The error names each invalid setting and what is
/// allowed.
export function createCallerLimits(
  machine: MachineSize,
  settings: CallerLimitSettings,
): Result<CallerLimits, string> {
  const { memoryBytes, descriptors } = machine;
  const connections = Math.min(
    Math.floor(descriptors * connectionsFraction),
    Math.floor(memoryBytes / memoryOfConnection),
  );
  const defaults: CallerLimits = {
    memoryBytes: Math.max(smallestMemoryBytes, Math.floor(memoryBytes * memoryFraction)),
    connections: Math.max(smallestConnections, connections),
    requests: Math.max(
      smallestRequests,
      Math.floor(connections * (requestsFraction / connectionsFraction)),
    ),
    discardBytesPerSecond,
    smallChunksPerSecond,
  };
  const limits: CallerLimits = {
    memoryBytes: settings.memoryBytes ?? defaults.memoryBytes,
    connections: settings.connections ?? defaults.connections,
    requests: settings.requests ?? defaults.requests,
    discardBytesPerSecond: settings.discardBytesPerSecond ?? defaults.discardBytesPerSecond,
    smallChunksPerSecond: settings.smallChunksPerSecond ?? defaults.smallChunksPerSecond,
  };
  const ranges: LimitRange[] = [
    {
      setting: "callers.memory_mb",
      from: smallestMemoryBytes / megabyte,
      to: Math.max(smallestMemoryBytes, memoryBytes) / megabyte,
      value: limits.memoryBytes / megabyte,
    },
    {
      setting: "callers.max_connections",
      from: smallestConnections,
      to: Math.max(smallestConnections, descriptors),
      value: limits.connections,
    },
    {
      setting: "callers.max_requests",
      from: smallestRequests,
      to: Math.max(smallestRequests, descriptors),
      value: limits.requests,
    },
    {
      setting: "callers.discard_mb_per_s",
      from: 1,
      to: largestDiscardBytesPerSecond / megabyte,
      value: limits.discardBytesPerSecond / megabyte,
    },
    {
      setting: "callers.small_chunks_per_s",
      from: smallestSmallChunks,
      to: largestSmallChunks,
      value: limits.smallChunksPerSecond,
    },
  ];
  const faults = ranges
    .filter(({ from, to, value }) => !(value >= from && value <= to))
    .map(
      ({ setting, from, to, value }) =>
        `${setting} is ${value}, allowed are ${from} to ${Math.floor(to)}`,
    );
  return faults.length > 0 ? Result.err(faults.join("\n")) : Result.ok(limits);
}
