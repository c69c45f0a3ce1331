//! Finds engines that are lost before their entries have lapsed: those that some entry VM
//! doubts are asked, and two silences in a row count as loss until the engine answers.
import type { Logger } from "@lovagebend/common";
import type { EngineOrders } from "./placer.js";

const silencesOfLoss = 2;
// More silent engines than this part of all mean that it is this entry VM that is cut off.
const largestLostShare = 0.3;

export class LossWatch {
  private readonly silences = new Map<string, number>();
  private readonly asking = new Set<string>();

  constructor(
    private readonly orders: Pick<EngineOrders, "readStatus">,
    private readonly logger: Logger,
  ) {}

  /// Asks those of `doubted`, and those lost, that are not being asked. To be called a few
  /// times a second.
  ask(doubted: Iterable<string>): void {
    for (const engine of new Set([...doubted, ...this.silences.keys()])) {
      if (!this.asking.has(engine)) void this.askOne(engine);
    }
  }

  /// Those of `engines` that are lost; none where too many are for that to be likely.
  lost(engines: readonly string[]): ReadonlySet<string> {
    const lost = engines.filter((engine) => (this.silences.get(engine) ?? 0) >= silencesOfLoss);
    return new Set(lost.length <= engines.length * largestLostShare ? lost : []);
  }

  /// Forgets engines that are no longer listed.
  keepOnly(engines: readonly string[]): void {
    for (const engine of this.silences.keys()) {
      if (!engines.includes(engine)) this.silences.delete(engine);
    }
  }

  private async askOne(engine: string): Promise<void> {
    this.asking.add(engine);
    const status = await this.orders.readStatus(engine);
    this.asking.delete(engine);
    if (status.isOk) {
      if (this.silences.delete(engine))
        this.logger.info("engine answers again", { target: engine });
      return;
    }
    const silences = (this.silences.get(engine) ?? 0) + 1;
    this.silences.set(engine, silences);
    if (silences === silencesOfLoss)
      this.logger.warn("engine taken for lost", { target: engine, reason: status.error });
  }
}
