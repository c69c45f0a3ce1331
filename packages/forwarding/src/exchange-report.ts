//! What an exchange with a target shows of the links to it: on what kind of connection it was
//! tried, and how it ended.

export enum ConnectionKind {
  New = "new",
  /// A connection of the pool, which has served another request.
  Kept = "kept",
}

export enum ExchangeResult {
  /// The head of an answer arrived. Its body may not have.
  Answered = "answered",
  ConnectionRefused = "connection_refused",
  ConnectionTimedOut = "connection_timed_out",
  /// No connection for another reason.
  NotConnected = "not_connected",
  /// The connection was reset or closed before an answer.
  EndedWithoutAnswer = "ended_without_answer",
  InvalidAnswer = "invalid_answer",
  DeadlinePassed = "deadline_passed",
  /// This entry VM ended the exchange, for example since the caller left.
  Cancelled = "cancelled",
}

export interface ExchangeReport {
  readonly service: string;
  readonly connection: ConnectionKind;
  readonly result: ExchangeResult;
}
