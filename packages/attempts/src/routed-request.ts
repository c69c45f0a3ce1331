//! A request on its way, and what its attempts need of their surroundings.
import type { ForwardRoute, ServiceProfile } from "@lovagebend/catalog";
import type { Clock, Logger, Milliseconds } from "@lovagebend/common";
import type { ForwardedRequest, HeaderNames, TargetConnections } from "@lovagebend/forwarding";
import type { RepeatBudget } from "@lovagebend/limits";
import type { PathPart } from "@lovagebend/routing";
import type { Result } from "true-myth";
import type { StreamWatch } from "./stream-watch.js";
import type { TargetBook } from "./target-book.js";

/// A caller's request with the route and service chosen for it. `deadline` is a monotonic
/// reading, the earlier of the caller's and the route's. `signal` aborts when the caller
/// leaves. `tokens` is the prompt and the longest answer, `promptTokens` the prompt alone.
export interface RoutedRequest extends ForwardedRequest {
  readonly route: ForwardRoute;
  readonly service: ServiceProfile;
  readonly workspace: string | undefined;
  readonly priority: number;
  readonly deadline: Milliseconds;
  readonly tokens: number;
  readonly promptTokens: number;
  readonly signal: AbortSignal;
}

/// How the caller learns where an answer ends. `untilClose` is for an answer whose target
/// did not say, so that the caller is promised no more than the router was.
export type Framing =
  | { readonly kind: "length"; readonly bytes: number }
  | { readonly kind: "chunked" }
  | { readonly kind: "untilClose" };

/// Where the answer goes. `begin` is called once, before any bytes; `send` passes bytes
/// on as they come; `end` closes a whole answer, `breakOff` one that is not whole.
export interface CallerAnswer {
  readonly hasBegun: boolean;
  begin(
    status: number,
    headers: Readonly<Record<string, string | string[]>>,
    framing: Framing,
  ): void;
  send(bytes: Buffer): void;
  end(bytes?: Buffer): void;
  breakOff(): void;
}

/// Whether a running answer goes over another path now. A refusal names the target that
/// would not take its part, where the engine says so.
export type PathChange =
  | { readonly kind: "changed" }
  | { readonly kind: "refused"; readonly status: number; readonly target: string | undefined }
  | { readonly kind: "unknown"; readonly reason: string };

/// The calls about one answer that engines take. No method throws.
export interface EngineCalls {
  /// The targets that hold up answers which `target` leads, by request.
  stalledAnswers(target: EngineAddress): Promise<Result<ReadonlyMap<string, string>, string>>;
  /// Leads a running answer over other parts; the first part stays.
  changePath(target: EngineAddress, request: string, path: string): Promise<PathChange>;
}

export interface EngineAddress {
  readonly name: string;
  readonly host: string;
  readonly port: number;
}

export interface AttemptServices {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly book: TargetBook;
  readonly connections: TargetConnections;
  readonly names: HeaderNames;
  readonly budget: RepeatBudget;
  readonly engines: EngineCalls;
  readonly watch: StreamWatch;
  readonly dataCentre: string;
  /// How many entry VMs there are, and how many of them in this data centre.
  readonly entryVmCount: () => number;
  readonly localEntryVmCount: () => number;
  /// Writes a path as targets read it.
  readonly formatPath: (parts: readonly PathPart[], book: TargetBook) => string;
}
