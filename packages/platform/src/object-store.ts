//! The client of the platform's object store, which holds named JSON documents. A write
//! replaces the whole document.
import { exchangeJsonRepeatable, type Milliseconds } from "@lovagebend/common";
import { Result, type Unit } from "true-myth";
import { StoreSilence } from "./table-service.js";

/// `get` resolves to `undefined` if there is no object with this name. No method throws. A
/// failed `put` may have taken effect.
export interface ObjectStore {
  put(name: string, value: unknown): Promise<Result<Unit, StoreSilence>>;
  get(name: string): Promise<Result<unknown, StoreSilence>>;
}

/// Returns a client of the object store at `baseUrl`. Each HTTP request fails after
/// `timeout`; one without a response is sent a second time.
export function httpObjectStore(baseUrl: string, timeout: Milliseconds): ObjectStore {
  const urlOf = (name: string): string => `${baseUrl}/objects/${encodeURIComponent(name)}`;
  return {
    async put(name, value) {
      const response = await exchangeJsonRepeatable({
        url: urlOf(name),
        method: "PUT",
        body: value,
        timeout,
      });
      if (response.isErr) return Result.err(StoreSilence.Silent);
      return response.value.status === 200 ? Result.ok() : Result.err(StoreSilence.Unavailable);
    },
    async get(name) {
      const response = await exchangeJsonRepeatable({ url: urlOf(name), method: "GET", timeout });
      if (response.isErr) return Result.err(StoreSilence.Silent);
      if (response.value.status === 404) return Result.ok(undefined);
      if (response.value.status !== 200) return Result.err(StoreSilence.Unavailable);
      return Result.ok(response.value.body);
    },
  };
}
