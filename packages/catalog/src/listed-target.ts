//! A target as it lists itself.

/// Whether a target takes new requests.
export enum ListedState {
  Ready = "ready",
  Leaving = "leaving",
}

/// Layers from `first` up to, not including, `end`.
export interface LayerRange {
  readonly first: number;
  readonly end: number;
}

/// `born` is the wall-clock millisecond of its start: with the same name and a later
/// `born` it is a new process that holds nothing.
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
