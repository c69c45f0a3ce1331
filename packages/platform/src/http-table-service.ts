//! The table service over HTTP with JSON bodies.
import {
  exchangeJson,
  exchangeJsonRepeatable,
  validate,
  type Milliseconds,
} from "@lovagebend/common";
import { Result } from "true-myth";
import { z } from "zod";
import {
  StoreSilence,
  type Row,
  type TableService,
  type TransactOutcome,
} from "./table-service.js";

const rowSchema = z.object({ key: z.string(), version: z.number().int(), value: z.unknown() });
const readSchema = z.object({ rows: z.array(rowSchema.nullable()) });
const scanSchema = z.object({ rows: z.array(rowSchema) });
const conflictSchema = z.object({ conflicts: z.array(z.string()) });

/// Connects to the table service at `baseUrl`; each call waits `timeout` at most.
export function httpTableService(baseUrl: string, timeout: Milliseconds): TableService {
  return {
    async read(keys) {
      const answer = await post(baseUrl, "/table/read", { keys }, timeout, readSchema);
      return answer.map((body) => body.rows.map((row) => row ?? undefined));
    },
    async scan(prefix, after, limit) {
      const body = { prefix, after, limit };
      const answer = await post(baseUrl, "/table/scan", body, timeout, scanSchema);
      return answer.map((found): Row[] => found.rows);
    },
    async transact(conditions, writes): Promise<TransactOutcome> {
      const answer = await exchangeJson({
        url: `${baseUrl}/table/transact`,
        method: "POST",
        body: { conditions, writes },
        timeout,
      });
      if (answer.isErr) return { kind: answer.error.kind === "notSent" ? "refused" : "unknown" };
      switch (answer.value.status) {
        case 200:
          return { kind: "committed" };
        case 409: {
          const conflict = validate(conflictSchema, answer.value.body);
          return conflict.isOk
            ? { kind: "conflict", keys: conflict.value.conflicts }
            : { kind: "unknown" };
        }
        case 429:
        case 503:
          return { kind: "refused" };
        default:
          return { kind: "unknown" };
      }
    },
  };
}

async function post<T>(
  baseUrl: string,
  path: string,
  body: unknown,
  timeout: Milliseconds,
  schema: z.ZodType<T>,
): Promise<Result<T, StoreSilence>> {
  const answer = await exchangeJsonRepeatable({
    url: `${baseUrl}${path}`,
    method: "POST",
    body,
    timeout,
  });
  if (answer.isErr) return Result.err(StoreSilence.Silent);
  if (answer.value.status !== 200) return Result.err(StoreSilence.Unavailable);
  return validate(schema, answer.value.body).mapErr(() => StoreSilence.Silent);
}
