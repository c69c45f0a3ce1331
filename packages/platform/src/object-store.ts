//! The platform's object store: named JSON documents, written whole.
import { exchangeJsonRepeatable, type Milliseconds } from "@lovagebend/common";
import { Result, type Unit } from "true-myth";
import { StoreSilence } from "./table-service.js";

/// `get` answers `undefined` where no object has this name. No method throws.
export interface ObjectStore {
  put(name: string, value: unknown): Promise<Result<Unit, StoreSilence>>;
  get(name: string): Promise<Result<unknown, StoreSilence>>;
}

/// Connects to the object store at `baseUrl`; each call waits `timeout` at most.
export function httpObjectStore(baseUrl: string, timeout: Milliseconds): ObjectStore {
  const url = (name: string): string => `${baseUrl}/objects/${encodeURIComponent(name)}`;
  return {
    async put(name, value) {
      const answer = await exchangeJsonRepeatable({
        url: url(name),
        method: "PUT",
        body: value,
        timeout,
      });
      if (answer.isErr) return Result.err(StoreSilence.Silent);
      return answer.value.status === 200 ? Result.ok() : Result.err(StoreSilence.Unavailable);
    },
    async get(name) {
      const answer = await exchangeJsonRepeatable({ url: url(name), method: "GET", timeout });
      if (answer.isErr) return Result.err(StoreSilence.Silent);
      if (answer.value.status === 404) return Result.ok(undefined);
      if (answer.value.status !== 200) return Result.err(StoreSilence.Unavailable);
      return Result.ok(answer.value.body);
    },
  };
}
