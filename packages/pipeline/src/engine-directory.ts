//! The step channels and control calls of all engines, by target name.
import type { Milliseconds } from "@lovagebend/common";
import { EngineChannel, type EngineAddress } from "./engine-channel.js";
import { httpEngineControl, type EngineControl } from "./engine-control.js";

export type { EngineControl };

interface EngineEntry {
  readonly address: EngineAddress;
  readonly channel: EngineChannel;
  readonly control: EngineControl;
}

/// Keeps one step channel and one set of control calls for each configured engine.
export class EngineDirectory {
  private readonly entries = new Map<string, EngineEntry>();

  constructor(private readonly controlTimeout: Milliseconds) {}

  /// Applies the configured engines. The channels of engines that were removed or whose
  /// address changed are closed.
  configure(addresses: ReadonlyMap<string, EngineAddress>): void {
    for (const [name, entry] of this.entries) {
      const configured = addresses.get(name);
      if (configured?.host === entry.address.host && configured.port === entry.address.port)
        continue;
      entry.channel.close();
      this.entries.delete(name);
    }
    for (const [name, address] of addresses) {
      if (this.entries.has(name)) continue;
      this.entries.set(name, {
        address,
        channel: new EngineChannel(address),
        control: httpEngineControl(address, this.controlTimeout),
      });
    }
  }

  channel(target: string): EngineChannel | undefined {
    return this.entries.get(target)?.channel;
  }

  control(target: string): EngineControl | undefined {
    return this.entries.get(target)?.control;
  }

  close(): void {
    this.configure(new Map());
  }
}
