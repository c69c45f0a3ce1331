//! Several entry VMs with a quarantine each, in simulated time: requests arrive at random entry
//! VMs, targets crash, and the entry VMs exchange their states in a random order.
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { PromptQuarantine, type QuarantineExchange } from "../src/index.js";

export interface ClusterOptions {
  readonly seed: number;
  readonly entryVms: number;
  readonly exchangeInterval?: number;
  /// Whether changes start further exchanges at once, as between real entry VMs.
  readonly hasTriggers?: boolean;
}

/// The outcome of a request. `sent` counts the dispatches to targets.
export interface RequestOutcome {
  readonly sent: number;
  readonly crashed: number;
  readonly isAnswered: boolean;
}

const timeStep = 50;
const minimumTriggerInterval = 150;

export class Cluster {
  now = 0;
  readonly vms: PromptQuarantine[];
  /// The entry VMs that currently cannot exchange with others.
  readonly isolated = new Set<number>();
  readonly crashTimes: number[] = [];
  /// The bytes that each entry VM has sent and received.
  readonly transferredBytes: number[];
  private readonly random: ReturnType<typeof xoroshiro128plus>;
  private readonly triggered = new Set<number>();
  private readonly triggeredAt: number[];
  private nextTarget = 0;

  constructor(private readonly options: ClusterOptions) {
    this.random = xoroshiro128plus(options.seed);
    this.vms = Array.from({ length: options.entryVms }, (_, vm) => this.createVm(vm));
    this.transferredBytes = this.vms.map(() => 0);
    this.triggeredAt = this.vms.map(() => -Infinity);
  }

  /// A random integer below `limit`.
  pick(limit: number): number {
    return uniformInt(this.random, 0, limit - 1);
  }

  /// Advances the time to `end`: exchanges and reviews run meanwhile.
  advanceTo(end: number): void {
    const { exchangeInterval = 400, entryVms } = this.options;
    for (; this.now < end; this.now += timeStep) {
      for (let vm = 0; vm < entryVms; vm += 1) {
        if (this.pick(exchangeInterval) < timeStep || this.triggered.delete(vm))
          this.exchange(vm, this.pick(entryVms));
        this.vms[vm]?.review(this.now);
      }
    }
  }

  /// Sends a request with `parts` to a random entry VM. With a part in `deadly`, each target
  /// that begins the answer crashes.
  request(parts: readonly string[], deadly: ReadonlySet<string>, attempts = 2): RequestOutcome {
    const receiver = this.pick(this.vms.length);
    const vm = this.vms[receiver];
    let sent = 0;
    while (sent < attempts) {
      const admission = vm?.admit(parts, this.now, (part) => this.holdsTrial(receiver, part));
      if (admission?.kind !== "admitted") return { sent, crashed: sent, isAnswered: false };
      sent += 1;
      if (!parts.some((part) => deadly.has(part))) {
        vm?.recordSurvival(parts, this.now);
        return { sent, crashed: sent - 1, isAnswered: true };
      }
      this.crashTarget([{ vm: receiver, parts }]);
      this.now += timeStep * 3;
    }
    return { sent, crashed: sent, isAnswered: false };
  }

  /// Crashes a target on which answers to prompts with these parts were starting, each through
  /// an entry VM.
  crashTarget(starting: readonly { readonly vm: number; readonly parts: readonly string[] }[]) {
    this.nextTarget += 1;
    this.crashTimes.push(this.now);
    for (const { vm, parts } of starting)
      this.vms[vm]?.recordCrash(`target-${this.nextTarget}/1`, parts, this.now);
  }

  /// Replaces an entry VM by one without any state.
  restart(vm: number): void {
    this.vms[vm] = this.createVm(vm);
  }

  countQuarantining(part: string): number {
    return this.vms.filter((vm) => vm.admit([part], this.now, () => false).kind === "quarantined")
      .length;
  }

  private createVm(vm: number): PromptQuarantine {
    const quarantine = new PromptQuarantine();
    if (this.options.hasTriggers !== true) return quarantine;
    quarantine.onChange = () => {
      if (this.now - (this.triggeredAt[vm] ?? -Infinity) < minimumTriggerInterval) return;
      this.triggeredAt[vm] = this.now;
      this.triggered.add(vm);
    };
    return quarantine;
  }

  private exchange(left: number, right: number): void {
    if (left === right || this.isolated.has(left) !== this.isolated.has(right)) return;
    const [opener, receiver] = [this.vms[left], this.vms[right]];
    if (opener === undefined || receiver === undefined) return;
    const send = (message: QuarantineExchange): QuarantineExchange => {
      const text = JSON.stringify(message);
      for (const vm of [left, right])
        this.transferredBytes[vm] = (this.transferredBytes[vm] ?? 0) + text.length;
      return JSON.parse(text) as QuarantineExchange;
    };
    const answer = (message: QuarantineExchange): QuarantineExchange => {
      receiver.mergeExchange(message, this.now);
      return send(receiver.composeExchange(message, this.now));
    };
    const first = answer(send(opener.composeExchange(undefined, this.now)));
    if (first.digest === opener.digest) return;
    opener.mergeExchange(answer(send(opener.composeExchange(first, this.now))), this.now);
  }

  private holdsTrial(vm: number, part: string): boolean {
    return part.length % this.vms.length === vm;
  }
}
