//! The settings in the platform's table service: one row per team, one for each
//! past change, and a head row that orders all changes.
import { validate, type Clock, type Milliseconds, type ValidationIssue } from "@lovagebend/common";
import type { Row, RowCondition, TableService } from "@lovagebend/platform";
import { Result } from "true-myth";
import { z } from "zod";
import { SettingsState, type SettingsChange } from "./settings-state.js";
import { mergeView } from "./settings-view.js";

/// A team's new subtree. `baseRevision` is the revision of the team's last
/// change that the operator has seen, 0 for none.
export interface ApplyRequest {
  readonly team: string;
  readonly document: unknown;
  readonly baseRevision: number;
  readonly author: string;
}

/// `committed`: durable under `revision`. `conflict`: `winner` changed the
/// subtree first; nothing was written. `unknown`: the store fell silent after
/// the change was sent; it may take effect. `unavailable`: nothing was written.
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
const scanPage = 200;
const longestCatchUp = 50;
const mostTries = 20;
const retryPause: Milliseconds = 100;

interface Head {
  readonly revision: number;
  readonly version: number;
}

/// Reads and changes the settings. Any number of daemons may do so at once.
export class SettingsStore {
  constructor(
    private readonly table: TableService,
    private readonly clock: Clock,
    private readonly createNonce: () => string,
  ) {}

  /// The latest state, starting from `known`; `undefined` while the store is
  /// silent. Reads little when `known` is current or almost so.
  async refresh(known: SettingsState): Promise<SettingsState | undefined> {
    const head = await this.readHead();
    if (head === undefined) return undefined;
    if (head.revision <= known.revision) return known;
    if (known.revision > 0 && head.revision - known.revision <= longestCatchUp) {
      const changes = await this.readHistory(known.revision + 1, head.revision);
      if (changes === undefined) return undefined;
      const next = known.with(changes);
      if (next.revision === head.revision) return next;
    }
    return this.readSnapshot(head);
  }

  /// Changes one team's subtree. The whole tree must be valid with the change;
  /// a change of another team in between is no conflict.
  async apply(request: ApplyRequest): Promise<ApplyOutcome> {
    let state = SettingsState.empty;
    const nonce = this.createNonce();
    for (let attempt = 0; attempt < mostTries; attempt += 1) {
      const head = await this.readHead();
      const fresh = await this.refresh(state);
      if (head === undefined || fresh === undefined) return { kind: "unavailable" };
      state = fresh;
      if (state.revision !== head.revision) continue;
      const current = state.teams.get(request.team);
      if ((current?.revision ?? 0) !== request.baseRevision && current !== undefined) {
        return { kind: "conflict", winner: current };
      }
      const change = this.changeFor(request, head.revision + 1, nonce);
      const view = mergeView(state.with([change]));
      if (view.isErr) return { kind: "invalid", issues: view.error };
      const outcome = await this.commit(change, head);
      if (outcome !== "retry") return outcome;
    }
    return { kind: "unavailable" };
  }

  /// The last `limit` changes up to `revision`, the latest first.
  async history(revision: number, limit: number): Promise<SettingsChange[] | undefined> {
    const changes = await this.readHistory(Math.max(1, revision - limit + 1), revision);
    return changes?.reverse();
  }

  private changeFor(request: ApplyRequest, revision: number, nonce: string): SettingsChange {
    return {
      revision,
      team: request.team,
      author: request.author,
      time: new Date(this.clock.wall()).toISOString(),
      nonce,
      document: request.document,
    };
  }

  private async commit(change: SettingsChange, head: Head): Promise<ApplyOutcome | "retry"> {
    const historyRow = historyKey(change.revision);
    const conditions: RowCondition[] = [
      { key: headKey, version: head.version },
      { key: historyRow, version: 0 },
    ];
    const outcome = await this.table.transact(conditions, [
      { key: headKey, value: { revision: change.revision } },
      { key: historyRow, value: change },
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

  // After silence the history row tells whether this change took effect, or
  // another one did under its revision, so that this one never can.
  private async readBack(change: SettingsChange): Promise<ApplyOutcome | "retry"> {
    for (let attempt = 0; attempt < mostTries; attempt += 1) {
      const rows = await this.table.read([historyKey(change.revision)]);
      const row = rows.isOk ? rows.value[0] : undefined;
      if (row !== undefined) {
        const stored = parseChange(row);
        const own = stored?.nonce === change.nonce;
        return own ? { kind: "committed", revision: change.revision } : "retry";
      }
      // An absent row proves nothing while the write may still be under way.
      await this.clock.sleep(retryPause);
    }
    return { kind: "unknown" };
  }

  private async readHead(): Promise<Head | undefined> {
    const rows = await this.table.read([headKey]);
    if (rows.isErr) return undefined;
    const row = rows.value[0];
    if (row === undefined) return { revision: 0, version: 0 };
    const value = validate(headSchema, row.value);
    return value.isOk ? { revision: value.value.revision, version: row.version } : undefined;
  }

  private async readHistory(first: number, last: number): Promise<SettingsChange[] | undefined> {
    const revisions = Array.from({ length: last - first + 1 }, (_, index) => first + index);
    const rows = await this.table.read(revisions.map(historyKey));
    if (rows.isErr) return undefined;
    return rows.value.flatMap((row) => parseChange(row) ?? []);
  }

  // A change between the first and the last page would mix two revisions, so
  // the head is read again afterwards.
  private async readSnapshot(before: Head): Promise<SettingsState | undefined> {
    let head = before;
    for (let attempt = 0; attempt < mostTries; attempt += 1) {
      const changes = await this.readTeams();
      const after = await this.readHead();
      if (changes === undefined || after === undefined) return undefined;
      if (after.revision === head.revision) return SettingsState.of(head.revision, changes);
      head = after;
    }
    return undefined;
  }

  private async readTeams(): Promise<SettingsChange[] | undefined> {
    const changes: SettingsChange[] = [];
    let after = "";
    for (;;) {
      const rows: Result<Row[], unknown> = await this.table.scan(teamPrefix, after, scanPage);
      if (rows.isErr) return undefined;
      changes.push(...rows.value.flatMap((row) => parseChange(row) ?? []));
      const last = rows.value.at(-1);
      if (last === undefined || rows.value.length < scanPage) return changes;
      after = last.key;
    }
  }
}

function historyKey(revision: number): string {
  return `settings/history/${String(revision).padStart(12, "0")}`;
}

function parseChange(row: Row | undefined): SettingsChange | undefined {
  if (row === undefined) return undefined;
  const value = validate(changeSchema as z.ZodType<SettingsChange>, row.value);
  return value.isOk ? value.value : undefined;
}
