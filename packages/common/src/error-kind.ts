//! The closed list of errors that callers, operators and peers can receive, and the
//! HTTP status, retry advice and message text of each.

/// Every error that the router can return.
export enum ErrorKind {
  MalformedRequest = "malformed_request",
  RequestTooLarge = "request_too_large",
  RequestTooSlow = "request_too_slow",
  Unauthenticated = "unauthenticated",
  Forbidden = "forbidden",
  UnknownRoute = "unknown_route",
  SettingsUnknown = "settings_unknown",
  NoPath = "no_path",
  PromptQuarantined = "prompt_quarantined",
  DeadlineUnreachable = "deadline_unreachable",
  QueueFull = "queue_full",
  ShareExceeded = "share_exceeded",
  DeadlineExceeded = "deadline_exceeded",
  TargetUnreachable = "target_unreachable",
  TargetsLimited = "targets_limited",
  VmBusy = "vm_busy",
  CallersLimited = "callers_limited",
  ConnectionEnding = "connection_ending",
  TargetFailed = "target_failed",
  OutcomeUnknown = "outcome_unknown",
  ClaimHeld = "claim_held",
  KeyClosed = "key_closed",
  KeyReused = "key_reused",
  StoreUnavailable = "store_unavailable",
  Stopping = "stopping",
  StoppedUnanswered = "stopped_unanswered",
  LinksLost = "links_lost",
  AnswerInterrupted = "answer_interrupted",
  ResumeInvalid = "resume_invalid",
  SettingsConflict = "settings_conflict",
  SettingsInvalid = "settings_invalid",
  CallerGone = "caller_gone",
  Internal = "internal",
}

/// Whether the refused request ran on a target. `NotRun` guarantees that it did not
/// run and cannot run later.
export enum RunState {
  NotRun = "not_run",
  Ran = "ran",
  Unknown = "unknown",
}

/// How a caller may retry after an error.
export enum RetryAdvice {
  Never = "never",
  AfterDelay = "after_delay",
  NewKey = "new_key",
  SameKey = "same_key",
  Resume = "resume",
}

/// The response to an error kind: the HTTP status, the retry advice and a
/// human-readable sentence.
export interface ErrorResponse {
  readonly status: number;
  readonly advice: RetryAdvice;
  readonly text: string;
}

const errorResponses: Readonly<Record<ErrorKind, ErrorResponse>> = {
  [ErrorKind.MalformedRequest]: createErrorResponse(
    400,
    RetryAdvice.Never,
    "The request is not well formed.",
  ),
  [ErrorKind.RequestTooLarge]: createErrorResponse(
    413,
    RetryAdvice.Never,
    "The request is too large.",
  ),
  [ErrorKind.RequestTooSlow]: createErrorResponse(
    408,
    RetryAdvice.AfterDelay,
    "The request arrived too slowly.",
  ),
  [ErrorKind.Unauthenticated]: createErrorResponse(
    401,
    RetryAdvice.Never,
    "The bearer token is not known.",
  ),
  [ErrorKind.Forbidden]: createErrorResponse(
    403,
    RetryAdvice.Never,
    "The bearer token does not allow this.",
  ),
  [ErrorKind.UnknownRoute]: createErrorResponse(404, RetryAdvice.Never, "No route has this name."),
  [ErrorKind.SettingsUnknown]: createErrorResponse(
    503,
    RetryAdvice.AfterDelay,
    "This entry VM does not know its settings yet.",
  ),
  [ErrorKind.NoPath]: createErrorResponse(
    503,
    RetryAdvice.AfterDelay,
    "No live targets hold all layers.",
  ),
  [ErrorKind.PromptQuarantined]: createErrorResponse(
    503,
    RetryAdvice.AfterDelay,
    "Requests with a part of this prompt have crashed targets.",
  ),
  [ErrorKind.DeadlineUnreachable]: createErrorResponse(
    503,
    RetryAdvice.AfterDelay,
    "The queue is too long for the deadline.",
  ),
  [ErrorKind.QueueFull]: createErrorResponse(429, RetryAdvice.AfterDelay, "The queue is full."),
  [ErrorKind.ShareExceeded]: createErrorResponse(
    429,
    RetryAdvice.AfterDelay,
    "The workspace used its share.",
  ),
  [ErrorKind.DeadlineExceeded]: createErrorResponse(
    504,
    RetryAdvice.AfterDelay,
    "The deadline passed.",
  ),
  [ErrorKind.TargetUnreachable]: createErrorResponse(
    503,
    RetryAdvice.AfterDelay,
    "No target accepted a connection.",
  ),
  [ErrorKind.TargetsLimited]: createErrorResponse(
    503,
    RetryAdvice.AfterDelay,
    "The targets accept no more requests at the moment.",
  ),
  [ErrorKind.VmBusy]: createErrorResponse(
    503,
    RetryAdvice.AfterDelay,
    "This entry VM accepts no more requests at the moment.",
  ),
  [ErrorKind.CallersLimited]: createErrorResponse(
    503,
    RetryAdvice.AfterDelay,
    "This entry VM has no room for more of what callers send.",
  ),
  [ErrorKind.ConnectionEnding]: createErrorResponse(
    503,
    RetryAdvice.AfterDelay,
    "The connection ends with the answer to an earlier request.",
  ),
  [ErrorKind.TargetFailed]: createErrorResponse(502, RetryAdvice.AfterDelay, "The target failed."),
  [ErrorKind.OutcomeUnknown]: createErrorResponse(
    504,
    RetryAdvice.SameKey,
    "The request may have run; ask again with the same key.",
  ),
  [ErrorKind.ClaimHeld]: createErrorResponse(
    409,
    RetryAdvice.SameKey,
    "Another entry VM holds this key; ask again with the same key.",
  ),
  [ErrorKind.KeyClosed]: createErrorResponse(
    410,
    RetryAdvice.NewKey,
    "This key was closed without running; use a new key.",
  ),
  [ErrorKind.KeyReused]: createErrorResponse(
    422,
    RetryAdvice.Never,
    "This key belongs to another request.",
  ),
  [ErrorKind.StoreUnavailable]: createErrorResponse(
    503,
    RetryAdvice.SameKey,
    "The platform's table service does not answer.",
  ),
  [ErrorKind.Stopping]: createErrorResponse(
    503,
    RetryAdvice.AfterDelay,
    "This entry VM is stopping.",
  ),
  [ErrorKind.StoppedUnanswered]: createErrorResponse(
    504,
    RetryAdvice.AfterDelay,
    "This entry VM stopped before the target answered; the request may have run.",
  ),
  [ErrorKind.LinksLost]: createErrorResponse(
    504,
    RetryAdvice.AfterDelay,
    "This entry VM lost its links before the target answered; the request may have run.",
  ),
  [ErrorKind.AnswerInterrupted]: createErrorResponse(
    503,
    RetryAdvice.Resume,
    "The answer was interrupted; resume with the last event.",
  ),
  [ErrorKind.ResumeInvalid]: createErrorResponse(
    400,
    RetryAdvice.Never,
    "The resume token does not match.",
  ),
  [ErrorKind.SettingsConflict]: createErrorResponse(
    409,
    RetryAdvice.Never,
    "The subtree changed since it was read.",
  ),
  [ErrorKind.SettingsInvalid]: createErrorResponse(
    422,
    RetryAdvice.Never,
    "The settings are not valid.",
  ),
  [ErrorKind.CallerGone]: createErrorResponse(
    499,
    RetryAdvice.Resume,
    "The caller closed the connection.",
  ),
  [ErrorKind.Internal]: createErrorResponse(500, RetryAdvice.AfterDelay, "The router failed."),
};

export function getErrorResponse(kind: ErrorKind): ErrorResponse {
  return errorResponses[kind];
}

/// An error that is returned to a caller. `run` states whether the request ran;
/// `detail` is appended to the kind's text; `retryAfterSeconds` is a hint.
export class RouterError extends Error {
  constructor(
    readonly kind: ErrorKind,
    readonly run: RunState,
    readonly detail = "",
    readonly retryAfterSeconds?: number,
  ) {
    super(detail === "" ? getErrorResponse(kind).text : `${getErrorResponse(kind).text} ${detail}`);
  }
}

function createErrorResponse(status: number, advice: RetryAdvice, text: string): ErrorResponse {
  return { status, advice, text };
}
