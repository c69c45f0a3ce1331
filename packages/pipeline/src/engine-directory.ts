//! The channels and side calls of all engines, by target name.
import type { Milliseconds } from "@lovagebend/common";
import { EngineChannel, type EngineAddress } from "./engine-channel.js";
import { httpEngineControl, type EngineControl } from "./engine-control.js";

export type { EngineControl };

interface Entry {
  readonly address: EngineAddress;
  readonly channel: EngineChannel;
  readonly control: EngineControl;
}

/// Keeps one channel and one set of side calls for each engine.
export class EngineDirectory {
  private readonly entries = new Map<string, Entry>();

  constructor(private readonly controlTimeout: Milliseconds) {}

  /// Takes on the engines in force. Channels of engines that are gone or have
  /// moved are closed.
  configure(addresses: ReadonlyMap<string, EngineAddress>): void {
    for (const [name, entry] of this.entries) {
      const wanted = addresses.get(name);
      if (wanted?.host === entry.address.host && wanted.port === entry.address.port) continue;
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
