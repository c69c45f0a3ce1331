//! The types of a routed request and of the services that its execution depends on: the
//! caller's answer, engine calls, the target registry and the retry budget.
import type { ForwardRoute, ServiceProfile } from "@lovagebend/catalog";
import type { Clock, Framing, Logger, Milliseconds } from "@lovagebend/common";
import type {
  AnswerMemory,
  ForwardedRequest,
  HeaderNames,
  TargetConnections,
} from "@lovagebend/forwarding";
import type { FairAdmissions, LinkBudget, SharedRetryBudget } from "@lovagebend/limits";
import type { PromptQuarantine } from "@lovagebend/quarantine";
import type { Result } from "true-myth";
import type { CrashReporter } from "./crash-reporter.js";
import type { EnginePath } from "./engine-path.js";
import type { RequestProgress } from "./request-progress.js";
import type { RequestLimiter } from "./request-limiter.js";
import type { StreamMetrics } from "./stream-pauses.js";
import type { StreamWatch } from "./stream-watch.js";
import type { TargetLinks } from "./target-links.js";
import type { TargetRegistry } from "./target-registry.js";

/// A caller's request with its route and service. `deadline` is a time of the monotonic
/// clock, the earlier of the caller's and the route's deadlines. `signal` aborts with a
/// `RequestEnd`. `tokens` counts the prompt and the maximum answer, `promptTokens` only
/// the prompt. `sharedPromptParts` are the identifiers of the parts of the prompt that other
/// requests may have in common with it, in the order of the prompt; its last part is its own.
/// `enginePriority` is the priority that engines are told; `undefined` for a plain service, and where
/// no requests to engines differ in it.
export interface RoutedRequest extends ForwardedRequest {
  readonly route: ForwardRoute;
  readonly service: ServiceProfile;
  readonly workspace: string | undefined;
  readonly priority: number;
  readonly enginePriority?: number | undefined;
  readonly deadline: Milliseconds;
  readonly tokens: number;
  readonly promptTokens: number;
  readonly sharedPromptParts: readonly string[];
  readonly signal: AbortSignal;
  readonly progress: RequestProgress;
}

/// The answer's connection to the caller. `begin` is called once, before any bytes; `send`
/// forwards bytes as they arrive and returns whether the caller keeps up with reading them. If
/// not, `onceRead` calls back when it has read all. `end` closes a complete answer, `abort` an
/// incomplete one, for a `reason` that is logged.
export interface CallerAnswer {
  readonly hasBegun: boolean;
  begin(
    status: number,
    headers: Readonly<Record<string, string | string[]>>,
    framing: Framing,
  ): void;
  send(bytes: Buffer): boolean;
  onceRead(callback: () => void): void;
  end(bytes?: Buffer): void;
  abort(reason: string): void;
}

/// The result of moving a running answer to another path. A refusal contains the address (`host:port`)
/// of the engine that refused its part, if the first engine reports it.
export type PathChange =
  | { readonly kind: "changed" }
  | { readonly kind: "refused"; readonly status: number; readonly address: string | undefined }
  | { readonly kind: "unknown"; readonly reason: string };

/// The process that answers at a target's address. `born` is the wall-clock time in milliseconds
/// at which it started. `none`: nothing listens there. `unknown`: no usable answer; the process
/// may be silent, overloaded or unreachable.
export type ProcessState =
  | { readonly kind: "running"; readonly born: number }
  | { readonly kind: "none" }
  | { readonly kind: "unknown" };

/// Calls to engines about running answers. No method throws.
export interface EngineCalls {
  readProcessState(target: EngineAddress): Promise<ProcessState>;
  /// Returns, by request, the address (`host:port`) of the target that stalls the answer, for
  /// the answers whose first part runs on `target`.
  getStalledAnswers(target: EngineAddress): Promise<Result<ReadonlyMap<string, string>, string>>;
  /// Moves a running answer to another path. Its first part stays on `target`.
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
  readonly targetRegistry: TargetRegistry;
  readonly connections: TargetConnections;
  readonly answerMemory: AnswerMemory;
  readonly headerNames: HeaderNames;
  readonly budget: SharedRetryBudget;
  readonly engines: EngineCalls;
  readonly watch: StreamWatch;
  readonly crashReporter: CrashReporter;
  /// Which services this entry VM reaches itself.
  readonly targetLinks: Pick<TargetLinks, "isLost" | "check">;
  readonly quarantine: PromptQuarantine;
  readonly requestLimiter: RequestLimiter;
  readonly metrics: StreamMetrics;
  /// Shares out what full engines accept.
  readonly admissions: FairAdmissions;
  /// This entry VM's share of the links between data centres.
  readonly links: LinkBudget;
  /// Whether this entry VM admits the trial request of a quarantined part.
  readonly holdsTrial: (part: string) => boolean;
  readonly dataCentre: string;
  /// Returns a number from 0 to 1; `Math.random` if absent. For the choice of paths.
  readonly random?: () => number;
  /// The number of entry VMs, including those not reachable for a few seconds, because they
  /// continue to run during a network partition.
  readonly entryVmCount: () => number;
  /// The number of live entry VMs in this data centre.
  readonly localEntryVmCount: () => number;
  /// Formats a path in the notation of the targets' path header.
  readonly formatPath: (path: EnginePath) => string;
}
