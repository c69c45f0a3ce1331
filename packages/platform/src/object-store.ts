//! The client of the platform's object store, which holds named JSON documents. A write
//! replaces the whole document.
import { exchangeJsonWithRetry, type Milliseconds } from "@lovagebend/common";
import { Result, type Unit } from "true-myth";
import { StoreError } from "./table-service.js";

/// `get` resolves to `undefined` if there is no object with this name. No method throws. A
/// failed `put` may have taken effect.
export interface ObjectStore {
  put(name: string, value: unknown): Promise<Result<Unit, StoreError>>;
  get(name: string): Promise<Result<unknown, StoreError>>;
}

/// Returns a client of the object store at `baseUrl`. Each HTTP request fails after
/// `timeout`; one without a response is sent a second time.
export function createHttpObjectStore(baseUrl: string, timeout: Milliseconds): ObjectStore {
  const urlOf = (name: string): string => `${baseUrl}/objects/${encodeURIComponent(name)}`;
  return {
    async put(name, value) {
      const response = await exchangeJsonWithRetry({
        url: urlOf(name),
        method: "PUT",
        body: value,
        timeout,
      });
      if (response.isErr) return Result.err(StoreError.NoResponse);
      return response.value.status === 200 ? Result.ok() : Result.err(StoreError.Unavailable);
    },
    async get(name) {
      const response = await exchangeJsonWithRetry({ url: urlOf(name), method: "GET", timeout });
      if (response.isErr) return Result.err(StoreError.NoResponse);
      if (response.value.status === 404) return Result.ok(undefined);
      if (response.value.status !== 200) return Result.err(StoreError.Unavailable);
      return Result.ok(response.value.body);
    },
  };
}
