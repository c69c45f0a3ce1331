//! Paths in the only form in which they are sent to engines. The targets of a path may leave or load
//! other layers between its choice and its use, and engines don't check that all layers are run.
import type { Milliseconds } from "@lovagebend/common";
import type { PathPart } from "@lovagebend/routing";
import { Result } from "true-myth";
import type { Target } from "./observed-target.js";
import type { TargetRegistry } from "./target-registry.js";

/// A path with the monotonic time at which it was chosen.
export interface ChosenPath {
  readonly parts: readonly PathPart[];
  readonly chosenAt: Milliseconds;
}

/// Why a part of a path can't be used.
export enum PartFault {
  Gone = "gone",
  Leaving = "leaving",
  Suspected = "suspected",
  OtherLayers = "other_layers",
  /// It doesn't continue the part before it, or the model has more layers.
  Misplaced = "misplaced",
}

export interface FaultyPart {
  readonly part: PathPart;
  readonly fault: PartFault;
}

/// A part of a path with the target that runs it.
export interface EnginePart extends PathPart {
  readonly engine: Target;
}

/// What a path is compared with. A part that an engine has begun to run stays there: the target
/// `keptTarget` has only to be listed.
export interface PathConditions {
  readonly layerCount: number;
  readonly targetRegistry: TargetRegistry;
  readonly now: Milliseconds;
  readonly keptTarget?: string;
}

/// A path that runs every layer once and in order, on targets that could be used when it was made.
/// Must be sent before anything else is awaited.
export class EnginePath {
  private constructor(readonly parts: readonly [EnginePart, ...EnginePart[]]) {}

  /// Looks up the targets of `parts`. The error holds the parts that can't be used.
  static resolve(
    parts: readonly PathPart[],
    conditions: PathConditions,
  ): Result<EnginePath, readonly FaultyPart[]> {
    const faults: FaultyPart[] = [];
    const resolved: EnginePart[] = [];
    for (const [index, part] of parts.entries()) {
      const previousEnd = parts[index - 1]?.end ?? 0;
      const engine = conditions.targetRegistry.get(part.target);
      const isRepeated = resolved.some(({ target }) => target === part.target);
      const continues = part.first === previousEnd && part.end > part.first && !isRepeated;
      const isEndMissing = index === parts.length - 1 && part.end !== conditions.layerCount;
      if (engine === undefined) faults.push({ part, fault: PartFault.Gone });
      else if (!continues || isEndMissing) faults.push({ part, fault: PartFault.Misplaced });
      else {
        const fault = findEngineFault(part, engine, conditions);
        if (fault !== undefined) faults.push({ part, fault });
        resolved.push({ ...part, engine });
      }
    }
    const [first, ...rest] = resolved;
    if (faults.length > 0 || first === undefined) return Result.err(faults);
    return Result.ok(new EnginePath([first, ...rest]));
  }

  get first(): EnginePart {
    return this.parts[0];
  }

  /// Returns the target that had `address` (`host:port`) when the path was made. Another process may
  /// listen there now.
  findTarget(address: string): string | undefined {
    return this.parts.find(({ engine: { host, port } }) => `${host}:${port}` === address)?.target;
  }
}

function findEngineFault(
  { first, end }: PathPart,
  { name, layers, suspectedUntil }: Target,
  { targetRegistry, now, keptTarget }: PathConditions,
): PartFault | undefined {
  if (name === keptTarget) return undefined;
  if (!targetRegistry.isStaying(name)) return PartFault.Leaving;
  if (suspectedUntil > now) return PartFault.Suspected;
  const isHeld = layers !== undefined && layers.first <= first && end <= layers.end;
  return isHeld ? undefined : PartFault.OtherLayers;
}
