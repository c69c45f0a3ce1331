//! An entry VM that leaves the calls to the store to the followers of its data centre, on a virtual
//! clock, with faults of the followers.
import { TargetRegistry } from "@lovagebend/attempts";
import { ListedState, RouteTable } from "@lovagebend/catalog";
import type { Logger, Milliseconds } from "@lovagebend/common";
import { Result } from "true-myth";
import type { Test } from "tap";
import type { EntryDependencies } from "../src/index.js";
import { ReplicatedState } from "../src/replicated-state.js";
import { entryLimits } from "./entry-limits.js";
import { ScriptedStore } from "./scripted-store.js";
import { VirtualClock } from "./virtual-clock.js";

export const propagationTime: Milliseconds = 3_000;
const exchangeInterval: Milliseconds = 400;
const discard = (): undefined => undefined;
const logger: Logger = { info: discard, warn: discard, error: discard };

const tables = {
  document: "op",
  documentKey: "config",
  targets: "servers",
  entryVms: "vms",
  verdicts: "v",
};

export function createVm(clock: VirtualClock, store: ScriptedStore, isFollower: boolean) {
  const targetRegistry = new TargetRegistry(clock, logger);
  const dependencies: Partial<EntryDependencies> = {
    clock,
    logger,
    store,
    tables,
    limits: { ...entryLimits, propagationTime },
    readTarget: (name) =>
      Result.ok({
        name,
        service: "portal",
        host: "127.0.0.1",
        port: 80,
        dataCentre: "north",
        state: ListedState.Ready,
        born: 1,
        slots: 8,
        card: undefined,
        layers: undefined,
      }),
    readDocument: (value) => {
      const limits = {
        maximumHeaderBytes: 1,
        maximumBodyBytes: 1,
        headerTimeout: 1,
        idleTimeout: 1,
      };
      const version = Number(value.toString());
      const services = new Map();
      const parts = { version, routes: [], services, workspaces: [], limits };
      return Result.ok({ table: new RouteTable(parts), faults: [] });
    },
  };
  const state = new ReplicatedState(dependencies as EntryDependencies, targetRegistry);
  state.shouldFollowDirectly = () => isFollower;
  return { state, targetRegistry };
}

/// What has become of a follower.
export enum FollowerFault {
  None = "none",
  /// Neither answers its peers nor reads what the store answers.
  Frozen = "frozen",
  /// Follows the store, and no peer hears of it. Also one that has stopped or been killed.
  CutFromPeers = "cut off from its peers",
  CutFromStore = "cut off from the store",
  /// Answers its peers, and reads the answers of the store, with a delay.
  Slow = "slow",
}

const slowReplyTime: Milliseconds = 350;
const slowReadTime: Milliseconds = 700;

export class Follower {
  fault = FollowerFault.None;
  readonly state: ReplicatedState;

  constructor(
    private readonly clock: VirtualClock,
    store: ScriptedStore,
  ) {
    const ownStore = Object.create(store) as ScriptedStore;
    const waitForChanges = store.waitForChanges.bind(store);
    ownStore.waitForChanges = async (...parameters) => {
      const answer = await waitForChanges(...parameters);
      return this.readAnswer(answer, parameters[2]);
    };
    this.state = createVm(clock, ownStore, true).state;
  }

  get repliesAfter(): Milliseconds | undefined {
    switch (this.fault) {
      case FollowerFault.None:
      case FollowerFault.CutFromStore:
        return 0;
      case FollowerFault.Slow:
        return slowReplyTime;
      case FollowerFault.Frozen:
      case FollowerFault.CutFromPeers:
        return undefined;
    }
  }

  private async readAnswer<Value>(
    answer: Result<Value, string>,
    timeout: Milliseconds,
  ): Promise<Result<Value, string>> {
    switch (this.fault) {
      case FollowerFault.None:
      case FollowerFault.CutFromPeers:
        return answer;
      case FollowerFault.Slow:
        await this.clock.sleep(slowReadTime);
        return answer;
      case FollowerFault.Frozen:
        while (this.isFrozen()) await this.clock.sleep(slowReadTime);
        return answer;
      case FollowerFault.CutFromStore:
        await this.clock.sleep(timeout);
        return Result.err("no response");
    }
  }

  private isFrozen(): boolean {
    return this.fault === FollowerFault.Frozen;
  }
}

export interface Scenario {
  readonly clock: VirtualClock;
  readonly store: ScriptedStore;
  /// The store as the entry VM reaches it, with the number of its own calls.
  readonly ownStore: ScriptedStore;
  readonly followers: readonly Follower[];
  readonly vm: ReplicatedState;
  readonly targets: TargetRegistry;
  /// Advances the time. The entry VM exchanges with one follower after the other all the while.
  readonly run: (duration: Milliseconds) => Promise<void>;
}

/// Starts two followers and an entry VM, which all know version 1 of the document and target `a`.
export async function startScenario(t: Test): Promise<Scenario> {
  const clock = new VirtualClock();
  const store = new ScriptedStore(clock);
  store.put("op", "config", "1");
  store.put("servers", "a", "entry");
  const followers = [new Follower(clock, store), new Follower(clock, store)];
  const ownStore = Object.create(store) as ScriptedStore;
  const { state: vm, targetRegistry: targets } = createVm(clock, ownStore, false);
  const states = [...followers.map(({ state }) => state), vm];
  for (const state of states) {
    const subscription = state.followStore();
    t.teardown(() => {
      subscription.unsubscribe();
    });
  }
  let exchangeCount = 0;
  const exchange = async (end: Milliseconds): Promise<void> => {
    const follower = followers[(exchangeCount += 1) % followers.length];
    const replyTime = follower?.repliesAfter;
    if (follower === undefined || replyTime === undefined) return;
    const askedAt = clock.monotonicTime();
    const reply = composeReply(follower.state, vm);
    await clock.advanceTo(Math.min(end, askedAt + replyTime));
    vm.mergePeerState(reply.state, "follower");
    for (const view of reply.views) vm.recordPeerView({ ...view, askedAt });
  };
  const run = async (duration: Milliseconds): Promise<void> => {
    const end = clock.monotonicTime() + duration;
    while (clock.monotonicTime() < end) {
      await clock.advanceTo(Math.min(end, clock.monotonicTime() + exchangeInterval));
      for (const { targetRegistry } of states) targetRegistry.expire();
      await exchange(end);
    }
  };
  await run(3_000);
  return { clock, store, ownStore, followers, vm, targets, run };
}

function composeReply(follower: ReplicatedState, vm: ReplicatedState) {
  const { document, targets } = follower.replicas;
  return {
    state: {
      tables: {
        document: document.composeTransfer(vm.replicas.document.revision),
        targets: targets.composeTransfer(vm.replicas.targets.revision),
      },
      document: undefined,
      lapseGrace: 0,
    },
    views: (["document", "targets"] as const).map((table) => ({
      table,
      age: follower.getViewAge(table),
      revision: follower.replicas[table].revision,
    })),
  };
}
