//! The control calls of an engine, beside its step channel: tokenization, export and import
//! of a key/value cache, load reports, cache events, orders and state.
import { exchangeJsonWithRetry, validate, type Milliseconds } from "@lovagebend/common";
import { loadReportSchema, type LoadReport } from "@lovagebend/membership";
import { Result, type Unit } from "true-myth";
import { z } from "zod";
import type { EngineAddress } from "./engine-channel.js";

const stateSchema = z.object({ version: z.string().nullable(), loading: z.string().nullable() });
const tokensSchema = z.object({ tokens: z.array(z.number().int()) });
const eventsSchema = z.object({
  events: z.array(
    z.object({
      sequence: z.number().int(),
      kind: z.enum(["stored", "evicted"]),
      key: z.string().max(64),
    }),
  ),
});
const exportSchema = z.object({ positions: z.number().int(), cache: z.unknown() });

/// The model version an engine serves, and the one it is loading.
export type EngineState = z.output<typeof stateSchema>;
/// An exported cache. Only the number of positions that it covers is known; the cache is
/// opaque.
export type ExportedCache = z.output<typeof exportSchema>;
type EngineEvents = z.output<typeof eventsSchema>["events"];

/// Transfers the cache of a sequence between engines. The error is a text for operators.
/// Neither call throws.
export interface CacheTransfer {
  exportCache(sequence: string): Promise<Result<ExportedCache, string>>;
  importCache(sequence: string, exported: ExportedCache): Promise<Result<Unit, string>>;
}

/// The control calls of an engine. The error is a text for operators. No call throws.
/// `cacheEvents` returns the events with a sequence number above `after`.
export interface EngineControl extends CacheTransfer {
  fetchLoad(): Promise<Result<LoadReport, string>>;
  fetchState(): Promise<Result<EngineState, string>>;
  cacheEvents(after: number): Promise<Result<EngineEvents, string>>;
  tokenize(text: string): Promise<Result<readonly number[], string>>;
  sendOrder(fencingNumber: number, version: string): Promise<Result<Unit, string>>;
}

/// Creates the control calls of the engine at `address`. Each call times out after `timeout`.
export function httpEngineControl(address: EngineAddress, timeout: Milliseconds): EngineControl {
  const baseUrl = `http://${address.host}:${address.port}/v1`;
  const call = async <T>(
    method: "GET" | "POST",
    path: string,
    body: unknown,
    schema: z.ZodType<T>,
  ): Promise<Result<T, string>> => {
    const answer = await exchangeJsonWithRetry({
      url: `${baseUrl}${path}`,
      method,
      body,
      timeout,
    });
    if (answer.isErr) return Result.err(answer.error.reason);
    if (answer.value.status !== 200) return Result.err(`status ${answer.value.status}`);
    return validate(schema, answer.value.body).mapErr(() => "the engine sent an invalid answer");
  };
  const discardValue = (outcome: Result<unknown, string>): Result<Unit, string> =>
    outcome.andThen(() => Result.ok());
  return {
    fetchLoad: () => call("GET", "/load", undefined, loadReportSchema),
    fetchState: () => call("GET", "/state", undefined, stateSchema),
    async cacheEvents(after) {
      const answer = await call("GET", `/cache-events?after=${after}`, undefined, eventsSchema);
      return answer.map((body) => body.events);
    },
    async tokenize(text) {
      const answer = await call("POST", "/tokenize", { text }, tokensSchema);
      return answer.map((body) => body.tokens);
    },
    exportCache: (sequence) => call("POST", "/cache/export", { sequence }, exportSchema),
    importCache: async (sequence, exported) =>
      discardValue(await call("POST", "/cache/import", { sequence, ...exported }, z.unknown())),
    sendOrder: async (fencingNumber, version) =>
      discardValue(await call("POST", "/orders", { fencingNumber, version }, z.unknown())),
  };
}
