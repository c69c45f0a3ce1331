//! The exit codes of the tool. Scripts rely on them: they are stable and documented in
//! docs/OPERATORS.md.
import { ErrorKind } from "@lovagebend/common";

export enum ExitCode {
  Done = 0,
  Failed = 1,
  Usage = 2,
  Conflict = 3,
  Invalid = 4,
  NotInForceEverywhere = 5,
  NotAllowed = 6,
  StoreUnavailable = 7,
}

const exitCodes: Readonly<Partial<Record<ErrorKind, ExitCode>>> = {
  [ErrorKind.SettingsConflict]: ExitCode.Conflict,
  [ErrorKind.SettingsInvalid]: ExitCode.Invalid,
  [ErrorKind.Unauthenticated]: ExitCode.NotAllowed,
  [ErrorKind.Forbidden]: ExitCode.NotAllowed,
  [ErrorKind.StoreUnavailable]: ExitCode.StoreUnavailable,
};

/// Returns the exit code for an error kind; `Failed` for one that has no specific code.
export function exitCodeFor(kind: ErrorKind): ExitCode {
  return exitCodes[kind] ?? ExitCode.Failed;
}
