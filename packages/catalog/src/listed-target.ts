//! The entry by which a target registers itself for a service.

/// Whether a target accepts new requests: a leaving target does not.
export enum ListedState {
  Ready = "ready",
  Leaving = "leaving",
}

/// The number of layers that no model exceeds. The work of planning and of finding paths grows
/// with the number of layers.
export const maximumLayerCount = 1_024;

/// A range of model layers; `end` is exclusive.
export interface LayerRange {
  readonly first: number;
  readonly end: number;
}

/// `born` is the wall-clock time in milliseconds at which the target's process started. A later
/// `born` under the same name means a new process, which holds no state of the previous one.
export interface ListedTarget {
  readonly name: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly dataCentre: string;
  readonly state: ListedState;
  readonly born: number;
  readonly slots: number;
  readonly card: string | undefined;
  readonly layers: LayerRange | undefined;
}
