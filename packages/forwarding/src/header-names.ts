//! The names of the headers that the router and its surroundings exchange. A deployment
//! gives them; nothing else in the router spells one.

/// All names are in lower case.
export interface HeaderNames {
  /// Identifies a request of a caller; the target echoes it.
  readonly request: string;
  /// Milliseconds that the caller, or the router, goes on waiting.
  readonly deadline: string;
  /// The caller's key. Never passed on.
  readonly key: string;
  /// The workspace of the key, for the target.
  readonly workspace: string;
  /// The only target that is to run the request.
  readonly expectedTarget: string;
  /// The targets and layers that an answer crosses.
  readonly path: string;
  /// The urgency of a request at a model engine, 0 being the highest.
  readonly priority: string;
  /// Tells that a target did not run the request.
  readonly notRun: string;
  /// The target on a path to which a refusal is due, as `host:port`.
  readonly faultyTarget: string;
  /// The last event that the caller has.
  readonly lastEvent: string;
  /// Running requests, waiting requests and slots of the target.
  readonly load: string;
  /// The prompt tokens and the most answer tokens of a request to a model.
  readonly tokens: string;
}
