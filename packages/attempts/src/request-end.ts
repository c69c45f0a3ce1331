//! The reasons for which a request ends before it has been answered by a target.
import { createNoRoomError, ErrorKind, RouterError, RunState } from "@lovagebend/common";

/// The reason with which `RoutedRequest.signal` aborts.
export enum RequestEnd {
  /// The caller closed its connection.
  CallerGone = "caller gone",
  /// The entry VM stops before the request could be answered.
  VmStopping = "VM stopping",
  /// Its bytes were given up before all had arrived, for others that callers send.
  NoRoom = "no room",
  /// This entry VM reaches no target of its service any more.
  LinksLost = "links to targets lost",
}

/// How long callers wait before they repeat a request that was refused by a stopping entry VM.
/// Short, because the next connection reaches another entry VM.
export const stoppingRetrySeconds = 0.05;

// As for other requests that reach no target.
const unreachableRetrySeconds = 0.3;

export function isEndedByStop(signal: AbortSignal): boolean {
  return signal.reason === RequestEnd.VmStopping;
}

/// Whether this entry VM has ended the request, so that no target is at fault.
export function isOwnEnd(signal: AbortSignal): boolean {
  return isEndedByStop(signal) || signal.reason === RequestEnd.LinksLost;
}

/// Returns the error of a request whose `signal` has aborted. `mayHaveRun` is whether a target may
/// have run the request.
export function createEndError(signal: AbortSignal, mayHaveRun: boolean): RouterError {
  if (signal.reason === RequestEnd.NoRoom) return createNoRoomError();
  if (signal.reason === RequestEnd.LinksLost) return createLinksError(mayHaveRun);
  if (!isEndedByStop(signal)) return new RouterError(ErrorKind.CallerGone, RunState.Unknown);
  return mayHaveRun
    ? new RouterError(ErrorKind.StoppedUnanswered, RunState.Unknown)
    : new RouterError(ErrorKind.Stopping, RunState.NotRun, "", stoppingRetrySeconds);
}

function createLinksError(mayHaveRun: boolean): RouterError {
  return mayHaveRun
    ? new RouterError(ErrorKind.LinksLost, RunState.Unknown)
    : new RouterError(
        ErrorKind.TargetUnreachable,
        RunState.NotRun,
        RequestEnd.LinksLost,
        unreachableRetrySeconds,
      );
}
