//! The StatsD client for the metrics that docs/OPERATORS.md lists.
import { StatsD } from "hot-shots";
import type { StartUpFile } from "./start-up-file.js";

export type Metrics = StatsD;

/// Creates a client for the address in the start-up file. Without an address, the client
/// sends nothing.
export function createMetrics(file: StartUpFile): Metrics {
  return new StatsD({
    host: file.metrics?.host ?? "127.0.0.1",
    ...(file.metrics === undefined ? {} : { port: file.metrics.port }),
    mock: file.metrics === undefined,
    prefix: "lovagebend.",
    globalTags: { instance: file.instance, data_centre: file.dataCentre },
    errorHandler: () => undefined,
  });
}
