//! Calls of a daemon's control server.
import { ErrorKind, exchangeJson, validate, type Milliseconds } from "@lovagebend/common";
import { z } from "zod";
import { ExitCode, exitCodeFor } from "./exit-code.js";

/// Ends the command with an exit code and a message.
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
const lineSchema = z.object({
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
    lines: z.array(lineSchema),
    percentiles: z.record(
      z.string(),
      z.object({ p50: z.number(), p95: z.number(), p99: z.number() }),
    ),
  }),
  missing: z.array(z.string()),
});

export type Status = z.output<typeof statusSchema>;
export type Change = z.output<typeof changeSchema>;

const timeout: Milliseconds = 15_000;

/// Each call throws a `CommandError` when the daemon refuses or does not answer.
export class ControlClient {
  constructor(
    private readonly baseUrl: string,
    private readonly key: string,
  ) {}

  settings(): Promise<z.output<typeof settingsSchema>> {
    return this.call("GET", "/v1/settings", settingsSchema);
  }

  /// Commits a team's subtree and returns its revision.
  async apply(team: string, document: unknown, baseRevision: number): Promise<number> {
    const schema = z.object({ revision: z.number() });
    const answer = await this.call("PUT", `/v1/settings/${team}`, schema, {
      document,
      baseRevision,
    });
    return answer.revision;
  }

  async history(): Promise<readonly Change[]> {
    return (await this.call("GET", "/v1/history", historySchema)).changes;
  }

  status(): Promise<Status> {
    return this.call("GET", "/v1/status", statusSchema);
  }

  async targets(): Promise<z.output<typeof targetsSchema>["targets"]> {
    return (await this.call("GET", "/v1/targets", targetsSchema)).targets;
  }

  async queues(): Promise<z.output<typeof queuesSchema>["queues"]> {
    return (await this.call("GET", "/v1/queues", queuesSchema)).queues;
  }

  burn(): Promise<z.output<typeof burnSchema>> {
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
    const headers = { authorization: `Bearer ${this.key}` };
    const url = `${this.baseUrl}${path}`;
    const answer = await exchangeJson({ url, method, headers, timeout, body });
    if (answer.isErr) {
      throw new CommandError(ExitCode.Failed, `${this.baseUrl}: ${answer.error.reason}`);
    }
    const refusal = validate(errorSchema, answer.value.body);
    if (refusal.isOk) {
      const { kind, message } = refusal.value.error;
      throw new CommandError(exitCodeFor(kind), message);
    }
    const checked = validate(schema, answer.value.body);
    if (checked.isOk) return checked.value;
    throw new CommandError(ExitCode.Failed, `${url}: the answer is not understood`);
  }
}
