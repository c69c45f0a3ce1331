//! Polls the daemon's status until a committed change is in force at every entry VM.
import { systemClock, type Milliseconds } from "@lovagebend/common";
import type { ControlClient, DaemonStatus } from "./control-client.js";
import { ExitCode } from "./exit-code.js";
import { formatJson, type Output } from "./output.js";

const maximumWait: Milliseconds = 7_000;
const pollInterval: Milliseconds = 200;
const maximumStatusAge: Milliseconds = 3_000;

/// Waits up to seven seconds. A change is accepted once it is in force at every entry VM.
/// Until then it is only committed, and the output names the entry VMs that lack it. An
/// entry VM that was last seen more than three seconds ago counts as lacking it.
export async function waitUntilInForce(
  client: ControlClient,
  revision: number,
  asJson: boolean,
  output: Output,
): Promise<ExitCode> {
  const startedAt = systemClock.monotonicTime();
  let reportedSummary = "";
  for (;;) {
    const status = await client.fetchStatus();
    const elapsedMilliseconds = Math.round(systemClock.monotonicTime() - startedAt);
    const { having, lacking } = partitionByRevision(status, revision);
    const summary = `revision ${revision} in force at ${having.length} of ${status.entryVms.length} entry VMs`;
    if (lacking.length === 0 || elapsedMilliseconds >= maximumWait) {
      const isAccepted = lacking.length === 0;
      if (asJson)
        output.print(
          formatJson({
            revision,
            accepted: isAccepted,
            having,
            lacking,
            elapsed: elapsedMilliseconds,
          }),
        );
      else
        output.print(
          isAccepted
            ? `accepted: ${summary} after ${elapsedMilliseconds} ms`
            : `committed: ${summary}, not yet at ${lacking.join(", ")}`,
        );
      return isAccepted ? ExitCode.Success : ExitCode.NotInForceEverywhere;
    }
    if (summary !== reportedSummary)
      output.reportProgress(`${summary}, waiting for ${lacking.join(", ")}`);
    reportedSummary = summary;
    await systemClock.sleep(pollInterval);
  }
}

function partitionByRevision(
  status: DaemonStatus,
  revision: number,
): { having: string[]; lacking: string[] } {
  const isUpToDate = (entryVm: DaemonStatus["entryVms"][number]): boolean =>
    (entryVm.revision ?? 0) >= revision && (entryVm.age ?? Infinity) <= maximumStatusAge;
  const namesOf = (entryVms: DaemonStatus["entryVms"]): string[] =>
    entryVms.map(({ name }) => name);
  return {
    having: namesOf(status.entryVms.filter(isUpToDate)),
    lacking: namesOf(status.entryVms.filter((entryVm) => !isUpToDate(entryVm))),
  };
}
