//! The client of the table service over HTTP with JSON bodies.
import {
  exchangeJson,
  exchangeJsonWithRetry,
  validate,
  type Milliseconds,
} from "@lovagebend/common";
import { Result } from "true-myth";
import { z } from "zod";
import { StoreError, type Row, type TableService, type TransactOutcome } from "./table-service.js";

const rowSchema = z.object({ key: z.string(), version: z.number().int(), value: z.unknown() });
const readSchema = z.object({ rows: z.array(rowSchema.nullable()) });
const scanSchema = z.object({ rows: z.array(rowSchema) });
const conflictSchema = z.object({ conflicts: z.array(z.string()) });

/// Returns a client of the table service at `baseUrl`. Each HTTP request fails after
/// `timeout`. A read without a response is sent a second time; a transaction never is, since
/// the first one may have taken effect.
export function createHttpTableService(baseUrl: string, timeout: Milliseconds): TableService {
  return {
    async read(keys) {
      const response = await postJson(baseUrl, "/table/read", { keys }, timeout, readSchema);
      return response.map((body) => body.rows.map((row) => row ?? undefined));
    },
    async scan(prefix, after, limit) {
      const body = { prefix, after, limit };
      const response = await postJson(baseUrl, "/table/scan", body, timeout, scanSchema);
      return response.map((page): Row[] => page.rows);
    },
    async transact(conditions, writes): Promise<TransactOutcome> {
      const response = await exchangeJson({
        url: `${baseUrl}/table/transact`,
        method: "POST",
        body: { conditions, writes },
        timeout,
      });
      if (response.isErr)
        return { kind: response.error.kind === "notSent" ? "refused" : "unknown" };
      switch (response.value.status) {
        case 200:
          return { kind: "committed" };
        case 409: {
          const conflict = validate(conflictSchema, response.value.body);
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

async function postJson<T>(
  baseUrl: string,
  path: string,
  body: unknown,
  timeout: Milliseconds,
  schema: z.ZodType<T>,
): Promise<Result<T, StoreError>> {
  const response = await exchangeJsonWithRetry({
    url: `${baseUrl}${path}`,
    method: "POST",
    body,
    timeout,
  });
  if (response.isErr) return Result.err(StoreError.NoResponse);
  if (response.value.status !== 200) return Result.err(StoreError.Unavailable);
  return validate(schema, response.value.body).mapErr(() => StoreError.NoResponse);
}
