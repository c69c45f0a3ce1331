//! The closed list of errors a caller, an operator or a peer can be told, and
//! the one table from each kind to its answer.

/// Every error the router can answer with.
export enum ErrorKind {
  MalformedRequest = "malformed_request",
  RequestTooLarge = "request_too_large",
  RequestTooSlow = "request_too_slow",
  Unauthenticated = "unauthenticated",
  Forbidden = "forbidden",
  UnknownRoute = "unknown_route",
  SettingsUnknown = "settings_unknown",
  NoPath = "no_path",
  DeadlineUnreachable = "deadline_unreachable",
  QueueFull = "queue_full",
  ShareExceeded = "share_exceeded",
  DeadlineExceeded = "deadline_exceeded",
  TargetUnreachable = "target_unreachable",
  TargetFailed = "target_failed",
  OutcomeUnknown = "outcome_unknown",
  ClaimHeld = "claim_held",
  KeyClosed = "key_closed",
  KeyReused = "key_reused",
  StoreUnavailable = "store_unavailable",
  Stopping = "stopping",
  AnswerInterrupted = "answer_interrupted",
  ResumeInvalid = "resume_invalid",
  SettingsConflict = "settings_conflict",
  SettingsInvalid = "settings_invalid",
  CallerGone = "caller_gone",
  Internal = "internal",
}

/// Whether the refused request ran on a target. `NotRun` is a promise that it
/// did not and that nothing can run it any more.
export enum RunState {
  NotRun = "not_run",
  Ran = "ran",
  Unknown = "unknown",
}

/// What a caller may do after a refusal.
export enum RetryAdvice {
  Never = "never",
  AfterDelay = "after_delay",
  NewKey = "new_key",
  SameKey = "same_key",
  Resume = "resume",
}

/// The answer that belongs to an error kind: an HTTP status, the advice and a
/// sentence for people.
export interface ErrorAnswer {
  readonly status: number;
  readonly advice: RetryAdvice;
  readonly text: string;
}

const answers: Readonly<Record<ErrorKind, ErrorAnswer>> = {
  [ErrorKind.MalformedRequest]: answer(400, RetryAdvice.Never, "The request is not well formed."),
  [ErrorKind.RequestTooLarge]: answer(413, RetryAdvice.Never, "The request is too large."),
  [ErrorKind.RequestTooSlow]: answer(
    408,
    RetryAdvice.AfterDelay,
    "The request arrived too slowly.",
  ),
  [ErrorKind.Unauthenticated]: answer(401, RetryAdvice.Never, "The bearer token is not known."),
  [ErrorKind.Forbidden]: answer(403, RetryAdvice.Never, "The bearer token does not allow this."),
  [ErrorKind.UnknownRoute]: answer(404, RetryAdvice.Never, "No route has this name."),
  [ErrorKind.SettingsUnknown]: answer(
    503,
    RetryAdvice.AfterDelay,
    "This entry VM does not know its settings yet.",
  ),
  [ErrorKind.NoPath]: answer(503, RetryAdvice.AfterDelay, "No live targets hold all layers."),
  [ErrorKind.DeadlineUnreachable]: answer(
    503,
    RetryAdvice.AfterDelay,
    "The queue is too long for the deadline.",
  ),
  [ErrorKind.QueueFull]: answer(429, RetryAdvice.AfterDelay, "The queue is full."),
  [ErrorKind.ShareExceeded]: answer(429, RetryAdvice.AfterDelay, "The workspace used its share."),
  [ErrorKind.DeadlineExceeded]: answer(504, RetryAdvice.AfterDelay, "The deadline passed."),
  [ErrorKind.TargetUnreachable]: answer(
    503,
    RetryAdvice.AfterDelay,
    "No target accepted a connection.",
  ),
  [ErrorKind.TargetFailed]: answer(502, RetryAdvice.AfterDelay, "The target failed."),
  [ErrorKind.OutcomeUnknown]: answer(
    504,
    RetryAdvice.SameKey,
    "The request may have run; ask again with the same key.",
  ),
  [ErrorKind.ClaimHeld]: answer(
    409,
    RetryAdvice.SameKey,
    "Another entry VM holds this key; ask again with the same key.",
  ),
  [ErrorKind.KeyClosed]: answer(
    410,
    RetryAdvice.NewKey,
    "This key was closed without running; use a new key.",
  ),
  [ErrorKind.KeyReused]: answer(422, RetryAdvice.Never, "This key belongs to another request."),
  [ErrorKind.StoreUnavailable]: answer(
    503,
    RetryAdvice.SameKey,
    "The platform's table service does not answer.",
  ),
  [ErrorKind.Stopping]: answer(503, RetryAdvice.AfterDelay, "This entry VM is stopping."),
  [ErrorKind.AnswerInterrupted]: answer(
    503,
    RetryAdvice.Resume,
    "The answer was interrupted; resume with the last event.",
  ),
  [ErrorKind.ResumeInvalid]: answer(400, RetryAdvice.Never, "The resume token does not match."),
  [ErrorKind.SettingsConflict]: answer(
    409,
    RetryAdvice.Never,
    "The subtree changed since it was read.",
  ),
  [ErrorKind.SettingsInvalid]: answer(422, RetryAdvice.Never, "The settings are not valid."),
  [ErrorKind.CallerGone]: answer(499, RetryAdvice.Resume, "The caller closed the connection."),
  [ErrorKind.Internal]: answer(500, RetryAdvice.AfterDelay, "The router failed."),
};

/// Returns the answer that belongs to `kind`.
export function answerFor(kind: ErrorKind): ErrorAnswer {
  return answers[kind];
}

/// An error on its way to a caller. `run` says whether the request ran;
/// `retryAfterSeconds` is a hint and may be absent.
export class RouterError extends Error {
  constructor(
    readonly kind: ErrorKind,
    readonly run: RunState,
    readonly detail = "",
    readonly retryAfterSeconds?: number,
  ) {
    super(detail === "" ? answerFor(kind).text : `${answerFor(kind).text} ${detail}`);
  }
}

function answer(status: number, advice: RetryAdvice, text: string): ErrorAnswer {
  return { status, advice, text };
}
