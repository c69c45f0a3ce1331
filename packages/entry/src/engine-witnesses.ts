//! Probes of engines by some entry VMs for another one, which doesn't reach many of them and may be
//! the one that is cut off.
import { validate, type Clock, type Milliseconds } from "@lovagebend/common";
import type { EngineClient, LossWitnesses } from "@lovagebend/placement";
import * as z from "zod";
import type { ProbePeers } from "./vm-probe.js";

const probeMethod = "probeEngines";
const witnessCount = 3;
// The engines that one call names; the others are probed by the next calls.
const maximumEngines = 256;
// Covers the time of a probe that fails, 150 ms.
const callTimeout: Milliseconds = 400;
const minimumInterval: Milliseconds = 300;
const enginesSchema = z.object({
  engines: z.array(z.string().min(1).max(200)).max(maximumEngines),
});
const replySchema = z.object({ unreachable: z.array(z.string()) });

export class EngineWitnesses implements LossWitnesses {
  private askedAt: Milliseconds = -Infinity;

  constructor(
    private readonly peers: Pick<ProbePeers, "registerMethod" | "callLivePeers">,
    private readonly engineClient: Pick<EngineClient, "readStatus">,
    private readonly clock: Clock,
    /// Whether this entry VM reaches targets of the engine's service at all.
    private readonly hasLinks: (engine: string) => boolean,
  ) {
    peers.registerMethod(probeMethod, (parameters) => this.probeEngines(parameters));
  }

  async findUnreachable(engines: readonly string[]): Promise<readonly ReadonlySet<string>[]> {
    await this.clock.sleep(this.askedAt + minimumInterval - this.clock.monotonicTime());
    this.askedAt = this.clock.monotonicTime();
    const named = { engines: engines.slice(0, maximumEngines) };
    const signal = AbortSignal.timeout(callTimeout);
    const replies = await Promise.all(
      this.peers.callLivePeers(probeMethod, named, witnessCount, signal),
    );
    return replies.flatMap((reply) => {
      const read = validate(replySchema, reply);
      return read.isOk ? [new Set(read.value.unreachable)] : [];
    });
  }

  private async probeEngines(parameters: unknown): Promise<z.output<typeof replySchema>> {
    const named = validate(enginesSchema, parameters);
    if (named.isErr) throw new Error("invalid names of engines");
    if (!named.value.engines.every(this.hasLinks)) throw new Error("links to engines lost");
    const probes = named.value.engines.map(async (engine) => ({
      engine,
      status: await this.engineClient.readStatus(engine),
    }));
    const unreachable = (await Promise.all(probes))
      .filter(({ status }) => status.isErr)
      .map(({ engine }) => engine);
    return { unreachable };
  }
}
