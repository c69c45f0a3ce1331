//! The command-line program that runs one test double as a process: `engine`, `service`
//! or `platform`. Its first line on standard output is `{"port":N}`.
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { startEngine } from "./engine.js";
import type { RunningServer } from "./json-server.js";
import { startPlatform } from "./platform.js";
import { startService } from "./service.js";

const port = {
  type: "number",
  default: 0,
  describe: "port on loopback; 0 selects a free port",
} as const;

await yargs(hideBin(process.argv))
  .command(
    "engine",
    "a model engine that holds a layer range",
    (command) =>
      command.options({
        port,
        name: { type: "string", default: "engine" },
        "first-layer": { type: "number", demandOption: true },
        "end-layer": { type: "number", demandOption: true },
        layers: { type: "number", demandOption: true },
        "tokens-per-second": { type: "number", default: 50_000 },
        "checks-fencing": { type: "boolean", default: true },
        "model-version": { type: "string", default: "v1" },
        "platform-url": { type: "string" },
      }),
    async (options) => {
      printPort(
        await startEngine({
          name: options.name,
          port: options.port,
          firstLayer: options.firstLayer,
          endLayer: options.endLayer,
          layers: options.layers,
          tokensPerSecond: options.tokensPerSecond,
          checksFencing: options.checksFencing,
          version: options.modelVersion,
          platformUrl: options.platformUrl,
          shouldRecordRuns: true,
        }),
      );
    },
  )
  .command(
    "service",
    "a plain service with bookings and stock checks",
    (command) => command.options({ port, name: { type: "string", default: "service" } }),
    async (options) => {
      printPort(await startService({ name: options.name, port: options.port }));
    },
  )
  .command(
    "platform",
    "a platform: table service, object store, weight store and list of VMs",
    (command) =>
      command.options({
        port,
        "writes-per-second": { type: "number", default: 400 },
        "reads-per-second": { type: "number", default: 2_000 },
        "weight-seconds": { type: "number", default: 1 },
      }),
    async (options) => {
      printPort(
        await startPlatform({
          port: options.port,
          writesPerSecond: options.writesPerSecond,
          readsPerSecond: options.readsPerSecond,
          weightLoadSeconds: options.weightSeconds,
        }),
      );
    },
  )
  .demandCommand(1)
  .strict()
  .parseAsync();

function printPort(server: RunningServer): void {
  process.stdout.write(`${JSON.stringify({ port: server.port })}\n`);
}
