//! Random histories of a store with restores, and replicas that learn of them from the store
//! and from each other in any order.
import t from "tap";
import {
  initialEra,
  TableReplica,
  type Revision,
  type StoredRow,
  type TableTransfer,
} from "../src/index.js";

const runCount = 3_000;
const stepCount = 60;
const replicaCount = 3;
const keys = ["a", "b", "c", "d"];

// A generator of pseudo-random integers below `bound` (mulberry32).
function createRandom(seed: number): (bound: number) => number {
  let state = seed;
  return (bound) => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) % bound;
  };
}

const describeRevision = ({ era, version }: Revision): string => `${era}/${version}`;

const describeRows = (rows: readonly StoredRow[]): string =>
  rows
    .filter(({ value }) => value !== undefined)
    .map(({ key, version }) => `${key}=${version}`)
    .sort()
    .join(" ");

/// A store that remembers which rows were live at each of its states.
class ModelStore {
  revision: Revision = { era: initialEra, version: 0 };
  private rows = new Map<string, StoredRow>();
  private readonly copies: { rows: ReadonlyMap<string, StoredRow>; version: number }[] = [];
  private readonly liveRows = new Map<string, string>();

  constructor() {
    this.record();
  }

  write(key: string, value: Buffer | undefined): void {
    const version = this.revision.version + 1;
    this.rows.set(key, { key, version, value });
    this.revision = { ...this.revision, version };
    this.record();
  }

  restore(chosen: number): void {
    const copy = this.copies[chosen % this.copies.length];
    if (copy === undefined) return;
    this.rows = new Map(copy.rows);
    this.revision = { era: this.revision.era + 1, version: copy.version };
    this.record();
  }

  read(): TableTransfer {
    const rows = [...this.rows.values()].filter(({ value }) => value !== undefined);
    return { rows, revision: this.revision, isWhole: true };
  }

  readChanges(known: Revision): TableTransfer {
    if (known.era !== this.revision.era || known.version > this.revision.version)
      return this.read();
    const rows = [...this.rows.values()].filter(({ version }) => version > known.version);
    return { rows, revision: this.revision, isWhole: false };
  }

  getLiveRows(revision: Revision): string | undefined {
    return this.liveRows.get(describeRevision(revision));
  }

  private record(): void {
    this.copies.push({ rows: new Map(this.rows), version: this.revision.version });
    this.liveRows.set(describeRevision(this.revision), describeRows([...this.rows.values()]));
  }
}

const findLiveRows = (replica: TableReplica): string =>
  describeRows(replica.composeTransfer({ era: -1, version: -1 }).rows);

// Returns a description of the first replica that does not hold the table of the state that it
// says it has reached.
function findDeviation(seed: number): string | undefined {
  const random = createRandom(seed);
  const store = new ModelStore();
  const replicas = Array.from({ length: replicaCount }, () => new TableReplica());
  const underWay: { readonly replica: TableReplica; readonly transfer: TableTransfer }[] = [];
  for (let step = 0; step < stepCount; step += 1) {
    const replica = replicas[random(replicaCount)];
    const peer = replicas[random(replicaCount)];
    const key = keys[random(keys.length)];
    if (replica === undefined || peer === undefined || key === undefined) continue;
    const event = random(20);
    if (event < 7) store.write(key, random(3) === 0 ? undefined : Buffer.from(String(step)));
    else if (event < 8) store.restore(random(1_000));
    else if (event < 9) underWay.push({ replica, transfer: store.read() });
    else if (event < 11)
      underWay.push({
        replica,
        transfer: replica.revision.version < 0 ? store.read() : store.readChanges(replica.revision),
      });
    else if (event < 14)
      underWay.push({ replica, transfer: peer.composeTransfer(replica.revision) });
    else {
      const [message] = underWay.splice(random(Math.max(1, underWay.length)), 1);
      if (message === undefined) continue;
      message.replica.applyTransfer(message.transfer);
      const { revision } = message.replica;
      if (revision.version < 0) continue;
      const held = findLiveRows(message.replica);
      const expected = store.getLiveRows(revision);
      if (held !== expected)
        return `seed ${seed}, step ${step}: at ${describeRevision(revision)} it holds "${held}" instead of "${expected}"`;
    }
  }
  return undefined;
}

// Guards against a replica that lacks a removal or brings back a removed row, and asks only for
// changes after the state that it believes to have reached.
t.test("a replica holds the table of the state that it says it has reached", (t) => {
  const deviations = Array.from({ length: runCount }, (_, seed) => findDeviation(seed + 1)).filter(
    (deviation) => deviation !== undefined,
  );
  t.same(deviations.slice(0, 3), [], `${deviations.length} of ${runCount} histories`);
  t.end();
});
