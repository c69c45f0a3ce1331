//! Compares the parts of a path with the targets as they are listed now. Between the choice of a path
//! and its use, targets may leave or load other layers.
import type { Milliseconds } from "@lovagebend/common";
import type { PathPart } from "@lovagebend/routing";
import type { TargetRegistry } from "./target-registry.js";

/// A path with the monotonic time at which it was chosen.
export interface ChosenPath {
  readonly parts: readonly PathPart[];
  readonly chosenAt: Milliseconds;
}

/// Why a part of a path can no longer be used.
export enum PartFault {
  Gone = "gone",
  Leaving = "leaving",
  OtherLayers = "other_layers",
}

export interface FaultyPart {
  readonly part: PathPart;
  readonly fault: PartFault;
}

export function findFaultyParts(
  parts: readonly PathPart[],
  targetRegistry: TargetRegistry,
): readonly FaultyPart[] {
  return parts.flatMap((part) => {
    const fault = findPartFault(part, targetRegistry);
    return fault === undefined ? [] : [{ part, fault }];
  });
}

function findPartFault(
  { target, first, end }: PathPart,
  targetRegistry: TargetRegistry,
): PartFault | undefined {
  const listed = targetRegistry.get(target);
  if (listed === undefined) return PartFault.Gone;
  if (!targetRegistry.isStaying(target)) return PartFault.Leaving;
  const { layers } = listed;
  const isHeld = layers !== undefined && layers.first <= first && end <= layers.end;
  return isHeld ? undefined : PartFault.OtherLayers;
}
