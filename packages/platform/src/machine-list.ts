//! The platform's list of live and leaving VMs, which the platform calls machines. The list
//! is updated with a delay, and after an outage it may be stale or empty, so consumers treat
//! it as evidence about a VM and not as authoritative.
import { exchangeJsonWithRetry, validate, type Milliseconds } from "@lovagebend/common";
import { Result } from "true-myth";
import { z } from "zod";
import { StoreError } from "./table-service.js";

export enum ListedState {
  Live = "live",
  Leaving = "leaving",
}

/// A VM on the list.
export interface ListedMachine {
  readonly name: string;
  readonly state: ListedState;
}

/// The list at the platform's revision `revision`, which increases with each change.
export interface MachineList {
  readonly revision: number;
  readonly machines: readonly ListedMachine[];
}

/// Reads the list. Never throws.
export type MachineListSource = () => Promise<Result<MachineList, StoreError>>;

const listSchema = z.object({
  revision: z.number().int(),
  machines: z.array(z.object({ name: z.string(), state: z.enum(ListedState) })),
});

/// Returns a source that reads the list from the platform at `baseUrl`. Each HTTP request
/// fails after `timeout`; one without a response is sent a second time.
export function createHttpMachineListSource(
  baseUrl: string,
  timeout: Milliseconds,
): MachineListSource {
  return async () => {
    const response = await exchangeJsonWithRetry({
      url: `${baseUrl}/machines`,
      method: "GET",
      timeout,
    });
    if (response.isErr) return Result.err(StoreError.NoResponse);
    if (response.value.status !== 200) return Result.err(StoreError.Unavailable);
    return validate(listSchema, response.value.body).mapErr(() => StoreError.NoResponse);
  };
}
