//! What a dispatch of a stream tells its stream: the events that it forwards, and how it ended.
import type { CompleteEvents, TargetResponse } from "@lovagebend/forwarding";
import type { Framing } from "@lovagebend/common";
import type { StreamDispatch } from "./stream-dispatch.js";
import type { Reroutable } from "./watched-dispatch.js";

/// The result of one dispatch of the stream to a first engine. `hasRun` is set if the engine
/// had begun to answer, and `isOwnEnd` if this entry VM ended the dispatch, so that the engine is not
/// at fault. `refusedBy` is the target that refused the request, the first engine or another one.
export type StreamOutcome =
  | { readonly kind: "ended" }
  | {
      readonly kind: "notRun";
      readonly reason: string;
      readonly refusedBy?: string;
    }
  | {
      readonly kind: "broken";
      readonly reason: string;
      readonly hasRun: boolean;
      readonly isOwnEnd: boolean;
    }
  | {
      readonly kind: "failed";
      readonly status: number;
      readonly rawHeaders: readonly string[];
      readonly framing: Framing;
      readonly body: Buffer;
    };

/// Why this entry VM ends a dispatch.
export enum DispatchEnd {
  Replaced = "another engine has continued the stream",
  Superfluous = "the engine before it goes on",
  EngineLeaves = "its engine is leaving",
  RequestEnded = "the request has ended",
}

/// The stream that a dispatch belongs to.
export interface StreamReceiver extends Reroutable {
  /// Takes complete events. Returns whether the caller keeps up with reading them.
  receive(dispatch: StreamDispatch, events: CompleteEvents, response: TargetResponse): boolean;
  /// Calls back when the caller has read everything.
  onceRead(callback: () => void): void;
}
