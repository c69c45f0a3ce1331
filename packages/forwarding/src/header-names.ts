//! The names of the HTTP headers that the router exchanges with callers and targets. Each
//! deployment configures them; no other code of the router contains such a name.

/// All names are in lower case.
export interface HeaderNames {
  /// Identifies a request of a caller; the target echoes it.
  readonly requestId: string;
  /// The target's receipt, which each of its successful answers carries.
  readonly receipt: string;
  /// The time, in milliseconds, for which the caller or the router still waits.
  readonly deadline: string;
  /// The caller's key. Never forwarded.
  readonly apiKey: string;
  /// The workspace of the key, for the target.
  readonly workspace: string;
  /// The only target that may run the request.
  readonly expectedTarget: string;
  /// The targets and the layers of each that an answer passes through.
  readonly path: string;
  /// The priority of a request at a model engine; 0 is the highest.
  readonly priority: string;
  /// Present if the target did not run the request.
  readonly notRun: string;
  /// The target on the path that caused a refusal, as `host:port`.
  readonly faultyTarget: string;
  /// The identifier of the last event that the caller has received.
  readonly lastEventId: string;
  /// The number of requests per second that the target accepts from all entry VMs together.
  readonly requestLimit: string;
  /// The target's numbers of running requests, waiting requests and slots.
  readonly load: string;
  /// The number of prompt tokens and the maximum number of answer tokens of a request to a
  /// model.
  readonly tokenCounts: string;
  /// The parts of a prompt in order, as `identifier:tokens` separated by commas.
  readonly promptParts: string;
  /// `1` if the target is leaving.
  readonly leaving: string;
}
