//! The settings in the platform's table service: one row per team, one row per past change,
//! and a head row whose version orders all changes by optimistic concurrency control.
import { validate, type Clock, type Milliseconds, type ValidationIssue } from "@lovagebend/common";
import type { Row, RowCondition, TableService } from "@lovagebend/platform";
import { Result } from "true-myth";
import { z } from "zod";
import { SettingsState, type SettingsChange } from "./settings-state.js";
import { mergeView } from "./settings-view.js";

/// A new subtree for a team. `baseRevision` is the revision of the team's last change on which
/// the operator based this one, 0 for none.
export interface ApplyRequest {
  readonly team: string;
  readonly document: unknown;
  readonly baseRevision: number;
  readonly author: string;
}

/// `committed`: durable under `revision`. `conflict`: `winner` changed the subtree first and
/// nothing was written. `invalid`: the settings would be invalid and nothing was written.
/// `unknown`: the store did not respond after the change was sent, which may still take
/// effect. `unavailable`: the store did not respond, refused the change, or changed concurrently
/// on each attempt; nothing was written.
export type ApplyOutcome =
  | { readonly kind: "committed"; readonly revision: number }
  | { readonly kind: "conflict"; readonly winner: SettingsChange }
  | { readonly kind: "invalid"; readonly issues: readonly ValidationIssue[] }
  | { readonly kind: "unknown" }
  | { readonly kind: "unavailable" };

const changeSchema = z.object({
  revision: z.number().int(),
  team: z.string(),
  author: z.string(),
  time: z.string(),
  nonce: z.string(),
  document: z.unknown(),
});
const headSchema = z.object({ revision: z.number().int() });

const headKey = "settings/head";
const teamPrefix = "settings/team/";
const scanPageSize = 200;
const maximumCatchUpChanges = 50;
const maximumAttempts = 20;
const retryDelay: Milliseconds = 100;

interface Head {
  readonly revision: number;
  readonly version: number;
}

/// Reads and changes the settings. Safe for concurrent use by any number of daemons.
export class SettingsStore {
  constructor(
    private readonly table: TableService,
    private readonly clock: Clock,
    private readonly createNonce: () => string,
  ) {}

  /// The latest state; `undefined` while the store does not respond. If `known` is at most
  /// `maximumCatchUpChanges` behind, only the missing changes are read.
  async refresh(known: SettingsState): Promise<SettingsState | undefined> {
    const head = await this.readHead();
    if (head === undefined) return undefined;
    if (head.revision <= known.revision) return known;
    if (known.revision > 0 && head.revision - known.revision <= maximumCatchUpChanges) {
      const changes = await this.readHistory(known.revision + 1, head.revision);
      if (changes === undefined) return undefined;
      const next = known.withChanges(changes);
      if (next.revision === head.revision) return next;
    }
    return this.readSnapshot(head);
  }

  /// Changes one team's subtree. The settings of all teams must be valid with the change. A
  /// concurrent change of another team is not a conflict.
  async apply(request: ApplyRequest): Promise<ApplyOutcome> {
    let state = SettingsState.empty;
    const nonce = this.createNonce();
    for (let attempt = 0; attempt < maximumAttempts; attempt += 1) {
      const head = await this.readHead();
      const refreshed = await this.refresh(state);
      if (head === undefined || refreshed === undefined) return { kind: "unavailable" };
      state = refreshed;
      if (state.revision !== head.revision) continue;
      const current = state.teams.get(request.team);
      if ((current?.revision ?? 0) !== request.baseRevision && current !== undefined) {
        return { kind: "conflict", winner: current };
      }
      const change = this.createChange(request, head.revision + 1, nonce);
      const view = mergeView(state.withChanges([change]));
      if (view.isErr) return { kind: "invalid", issues: view.error };
      const outcome = await this.commit(change, head);
      if (outcome !== "retry") return outcome;
    }
    return { kind: "unavailable" };
  }

  /// The last `limit` changes up to `revision`, latest first; `undefined` on a failed read.
  async readLatestChanges(revision: number, limit: number): Promise<SettingsChange[] | undefined> {
    const changes = await this.readHistory(Math.max(1, revision - limit + 1), revision);
    return changes?.reverse();
  }

  private createChange(request: ApplyRequest, revision: number, nonce: string): SettingsChange {
    return {
      revision,
      team: request.team,
      author: request.author,
      time: new Date(this.clock.wallClockTime()).toISOString(),
      nonce,
      document: request.document,
    };
  }

  private async commit(change: SettingsChange, head: Head): Promise<ApplyOutcome | "retry"> {
    const historyRowKey = historyKey(change.revision);
    const conditions: RowCondition[] = [
      { key: headKey, version: head.version },
      { key: historyRowKey, version: 0 },
    ];
    const outcome = await this.table.transact(conditions, [
      { key: headKey, value: { revision: change.revision } },
      { key: historyRowKey, value: change },
      { key: `${teamPrefix}${change.team}`, value: change },
    ]);
    switch (outcome.kind) {
      case "committed":
        return { kind: "committed", revision: change.revision };
      case "conflict":
        return "retry";
      case "refused":
        return { kind: "unavailable" };
      case "unknown":
        return this.readBack(change);
    }
  }

  // After a write without a response, the history row shows whether this change or another
  // one was committed under the revision. In the latter case this one can never take effect.
  private async readBack(change: SettingsChange): Promise<ApplyOutcome | "retry"> {
    for (let attempt = 0; attempt < maximumAttempts; attempt += 1) {
      const rows = await this.table.read([historyKey(change.revision)]);
      const row = rows.isOk ? rows.value[0] : undefined;
      if (row !== undefined) {
        const stored = parseChange(row);
        const isOwn = stored?.nonce === change.nonce;
        return isOwn ? { kind: "committed", revision: change.revision } : "retry";
      }
      // The row may be absent because the write is still in progress.
      await this.clock.sleep(retryDelay);
    }
    return { kind: "unknown" };
  }

  private async readHead(): Promise<Head | undefined> {
    const rows = await this.table.read([headKey]);
    if (rows.isErr) return undefined;
    const row = rows.value[0];
    if (row === undefined) return { revision: 0, version: 0 };
    const parsed = validate(headSchema, row.value);
    return parsed.isOk ? { revision: parsed.value.revision, version: row.version } : undefined;
  }

  private async readHistory(first: number, last: number): Promise<SettingsChange[] | undefined> {
    const revisions = Array.from({ length: last - first + 1 }, (_, index) => first + index);
    const rows = await this.table.read(revisions.map(historyKey));
    if (rows.isErr) return undefined;
    return rows.value.flatMap((row) => parseChange(row) ?? []);
  }

  // A change between the reads of the first and the last page would mix two revisions, so the
  // head is read again afterwards and the scan repeated if the revision differs.
  private async readSnapshot(initialHead: Head): Promise<SettingsState | undefined> {
    let head = initialHead;
    for (let attempt = 0; attempt < maximumAttempts; attempt += 1) {
      const changes = await this.readTeams();
      const currentHead = await this.readHead();
      if (changes === undefined || currentHead === undefined) return undefined;
      if (currentHead.revision === head.revision) return SettingsState.of(head.revision, changes);
      head = currentHead;
    }
    return undefined;
  }

  private async readTeams(): Promise<SettingsChange[] | undefined> {
    const changes: SettingsChange[] = [];
    let after = "";
    for (;;) {
      const rows: Result<Row[], unknown> = await this.table.scan(teamPrefix, after, scanPageSize);
      if (rows.isErr) return undefined;
      changes.push(...rows.value.flatMap((row) => parseChange(row) ?? []));
      const last = rows.value.at(-1);
      if (last === undefined || rows.value.length < scanPageSize) return changes;
      after = last.key;
    }
  }
}

function historyKey(revision: number): string {
  return `settings/history/${String(revision).padStart(12, "0")}`;
}

function parseChange(row: Row | undefined): SettingsChange | undefined {
  if (row === undefined) return undefined;
  const parsed = validate(changeSchema as z.ZodType<SettingsChange>, row.value);
  return parsed.isOk ? parsed.value : undefined;
}
