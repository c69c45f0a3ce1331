//! The HTTP client for the control server of a daemon.
import { ErrorKind, exchangeJson, validate, type Milliseconds } from "@lovagebend/common";
import { z } from "zod";
import { ExitCode, exitCodeFor } from "./exit-code.js";

/// Ends the command with `exitCode`; `message` is printed to the operator.
export class CommandError extends Error {
  constructor(
    readonly exitCode: ExitCode,
    message: string,
  ) {
    super(message);
  }
}

const errorSchema = z.object({ error: z.object({ kind: z.enum(ErrorKind), message: z.string() }) });
const changeSchema = z.object({
  revision: z.number(),
  team: z.string(),
  author: z.string(),
  time: z.string(),
  document: z.unknown(),
});
const settingsSchema = z.object({ revision: z.number(), teams: z.array(changeSchema) });
const historySchema = z.object({ changes: z.array(changeSchema) });
const statusSchema = z.object({
  instance: z.string(),
  revision: z.number(),
  confirmedAge: z.number().nullable(),
  stopping: z.boolean(),
  inProgress: z.number(),
  unrecordedVerdicts: z.number(),
  entryVms: z.array(
    z.object({ name: z.string(), revision: z.number().nullable(), age: z.number().nullable() }),
  ),
});
const targetsSchema = z.object({
  targets: z.array(
    z.object({
      name: z.string(),
      group: z.string(),
      dataCentre: z.string(),
      state: z.string(),
      load: z.object({ queuedTokens: z.number() }),
    }),
  ),
});
const queuesSchema = z.object({
  queues: z.array(
    z.object({
      group: z.string(),
      length: z.number(),
      age: z.number(),
      running: z.number(),
      capacity: z.number(),
    }),
  ),
});
const burnLineSchema = z.object({
  workspace: z.string(),
  objective: z.string(),
  windowMinutes: z.number(),
  good: z.number(),
  bad: z.number(),
  burn: z.number(),
});
const burnSchema = z.object({
  report: z.object({
    asOf: z.string(),
    lines: z.array(burnLineSchema),
    percentiles: z.record(
      z.string(),
      z.object({ p50: z.number(), p95: z.number(), p99: z.number() }),
    ),
  }),
  missing: z.array(z.string()),
});

export type DaemonStatus = z.output<typeof statusSchema>;
export type SettingsChange = z.output<typeof changeSchema>;

const callTimeout: Milliseconds = 15_000;

/// Each call throws a `CommandError` if the daemon returns an error, does not respond, or
/// sends a response that does not match the schema.
export class ControlClient {
  constructor(
    private readonly baseUrl: string,
    private readonly apiKey: string,
  ) {}

  fetchSettings(): Promise<z.output<typeof settingsSchema>> {
    return this.call("GET", "/v1/settings", settingsSchema);
  }

  /// Replaces the subtree of a team and returns the new revision. Fails with a conflict if
  /// the subtree has changed since `baseRevision`.
  async applySettings(team: string, document: unknown, baseRevision: number): Promise<number> {
    const schema = z.object({ revision: z.number() });
    const response = await this.call("PUT", `/v1/settings/${team}`, schema, {
      document,
      baseRevision,
    });
    return response.revision;
  }

  async fetchHistory(): Promise<readonly SettingsChange[]> {
    return (await this.call("GET", "/v1/history", historySchema)).changes;
  }

  fetchStatus(): Promise<DaemonStatus> {
    return this.call("GET", "/v1/status", statusSchema);
  }

  async fetchTargets(): Promise<z.output<typeof targetsSchema>["targets"]> {
    return (await this.call("GET", "/v1/targets", targetsSchema)).targets;
  }

  async fetchQueues(): Promise<z.output<typeof queuesSchema>["queues"]> {
    return (await this.call("GET", "/v1/queues", queuesSchema)).queues;
  }

  fetchBurnReport(): Promise<z.output<typeof burnSchema>> {
    return this.call("GET", "/v1/burn", burnSchema);
  }

  async drain(): Promise<void> {
    await this.call("POST", "/v1/drain", z.unknown());
  }

  private async call<T>(
    method: string,
    path: string,
    schema: z.ZodType<T>,
    body?: unknown,
  ): Promise<T> {
    const headers = { authorization: `Bearer ${this.apiKey}` };
    const url = `${this.baseUrl}${path}`;
    const response = await exchangeJson({ url, method, headers, timeout: callTimeout, body });
    if (response.isErr) {
      throw new CommandError(ExitCode.Failure, `${this.baseUrl}: ${response.error.reason}`);
    }
    const errorBody = validate(errorSchema, response.value.body);
    if (errorBody.isOk) {
      const { kind, message } = errorBody.value.error;
      throw new CommandError(exitCodeFor(kind), message);
    }
    const parsedBody = validate(schema, response.value.body);
    if (parsedBody.isOk) return parsedBody.value;
    throw new CommandError(ExitCode.Failure, `${url}: unexpected format of the response`);
  }
}
