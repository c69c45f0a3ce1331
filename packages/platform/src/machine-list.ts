//! The platform's list of live and leaving VMs. It lags, and after an outage it
//! may be stale or empty; what it says is evidence, never the whole truth.
import { exchangeJsonRepeatable, validate, type Milliseconds } from "@lovagebend/common";
import { Result } from "true-myth";
import { z } from "zod";
import { StoreSilence } from "./table-service.js";

export enum ListedState {
  Live = "live",
  Leaving = "leaving",
}

/// One VM of the list.
export interface ListedMachine {
  readonly name: string;
  readonly state: ListedState;
}

/// The list as of platform revision `revision`, which grows with each change.
export interface MachineList {
  readonly revision: number;
  readonly machines: readonly ListedMachine[];
}

/// Reads the list. Never throws.
export type MachineListSource = () => Promise<Result<MachineList, StoreSilence>>;

const listSchema = z.object({
  revision: z.number().int(),
  machines: z.array(z.object({ name: z.string(), state: z.enum(ListedState) })),
});

/// Reads the list from the platform at `baseUrl`.
export function httpMachineList(baseUrl: string, timeout: Milliseconds): MachineListSource {
  return async () => {
    const answer = await exchangeJsonRepeatable({
      url: `${baseUrl}/machines`,
      method: "GET",
      timeout,
    });
    if (answer.isErr) return Result.err(StoreSilence.Silent);
    if (answer.value.status !== 200) return Result.err(StoreSilence.Unavailable);
    return validate(listSchema, answer.value.body).mapErr(() => StoreSilence.Silent);
  };
}
