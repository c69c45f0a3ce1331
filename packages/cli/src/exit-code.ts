//! The exit codes of the tool. Scripts rely on them: they are stable and documented in
//! docs/OPERATORS.md.
import { ErrorKind } from "@lovagebend/common";

export enum ExitCode {
  Success = 0,
  Failure = 1,
  UsageError = 2,
  SettingsConflict = 3,
  SettingsInvalid = 4,
  NotInForceEverywhere = 5,
  PermissionDenied = 6,
  StoreUnavailable = 7,
}

const exitCodes: Readonly<Partial<Record<ErrorKind, ExitCode>>> = {
  [ErrorKind.SettingsConflict]: ExitCode.SettingsConflict,
  [ErrorKind.SettingsInvalid]: ExitCode.SettingsInvalid,
  [ErrorKind.Unauthenticated]: ExitCode.PermissionDenied,
  [ErrorKind.Forbidden]: ExitCode.PermissionDenied,
  [ErrorKind.StoreUnavailable]: ExitCode.StoreUnavailable,
};

/// Returns the exit code for an error kind; `Failure` for one that has no specific code.
export function exitCodeFor(kind: ErrorKind): ExitCode {
  return exitCodes[kind] ?? ExitCode.Failure;
}
