//! Reports of suspected engines to the entry VM that places layers, and to the one that would take
//! over from it. By gossip a suspicion takes about a second to arrive among 60 entry VMs, which delays
//! repair as much.
import {
  runDetached,
  validate,
  type Clock,
  type Logger,
  type Milliseconds,
} from "@lovagebend/common";
import * as z from "zod";
import type { ProbePeers } from "./vm-probe.js";

const reportMethod = "reportSuspicions";
const maximumReported = 1_000;
const reportSchema = z.object({
  targets: z.array(z.string().min(1).max(200)).max(maximumReported),
});
const callTimeout: Milliseconds = 300;
// Suspicions come in bursts; those of this time are reported together.
const reportInterval: Milliseconds = 100;
// As for suspicions that arrive by gossip.
const maximumAge: Milliseconds = 1_500;

export class SuspicionReports {
  private readonly received = new Map<string, Milliseconds>();
  private pending = new Set<string>();
  private isSending = false;

  /// `findReceivers` returns the entry VMs that suspicions are reported to.
  constructor(
    private readonly peers: Pick<ProbePeers, "registerMethod" | "callPeer">,
    private readonly findReceivers: () => readonly string[],
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    peers.registerMethod(reportMethod, (parameters) => {
      const report = validate(reportSchema, parameters);
      if (report.isOk) this.receive(report.value.targets);
      return {};
    });
  }

  /// Reports that this entry VM has begun to suspect `targets`.
  report(targets: readonly string[]): void {
    for (const target of targets) this.pending.add(target);
    if (this.isSending) return;
    runDetached(this.logger, "report of suspicions", this.send());
  }

  /// The targets that others have reported lately.
  findReported(): readonly string[] {
    const oldest = this.clock.monotonicTime() - maximumAge;
    for (const [target, at] of this.received) if (at < oldest) this.received.delete(target);
    return [...this.received.keys()];
  }

  private receive(targets: readonly string[]): void {
    const now = this.clock.monotonicTime();
    for (const target of targets)
      if (this.received.size < maximumReported || this.received.has(target))
        this.received.set(target, now);
  }

  private async send(): Promise<void> {
    this.isSending = true;
    try {
      while (this.pending.size > 0) {
        const targets = [...this.pending].slice(0, maximumReported);
        this.pending = new Set();
        const calls = this.findReceivers().map((name) =>
          this.peers.callPeer(name, reportMethod, { targets }, AbortSignal.timeout(callTimeout)),
        );
        await this.clock.sleep(reportInterval);
        await Promise.all(calls);
      }
    } finally {
      this.isSending = false;
    }
  }
}
