//! One exchange between two entry VMs: the opening message, the reply, and what the peer lacks.
import { runDetached, type Clock, type Logger, type Milliseconds } from "@lovagebend/common";
import type { PromptQuarantine, QuarantineExchange } from "@lovagebend/quarantine";
import type { MessageComposer, ReceiverState } from "./message-composer.js";
import type { MessageMerger } from "./message-merger.js";
import type { OwnFacts } from "./own-facts.js";
import { readPeerMessage } from "./peer-message-schema.js";
import type { PeerMessage } from "./peer-message.js";
import type { PeerRpc } from "./peer-rpc.js";

const exchangeTimeout: Milliseconds = 400;
// A document with many routes takes some 100 ms on the link of the smallest VM, which other messages
// share, and as long on its processor.
const documentTimeout: Milliseconds = 2_000;
const exchangeMethod = "exchange";
const maximumLoggedFaults = 5;

export class GossipExchange {
  private isTransferringDocument = false;

  constructor(
    private readonly ownName: string,
    private readonly rpc: PeerRpc,
    private readonly composer: MessageComposer,
    private readonly merger: MessageMerger,
    private readonly ownFacts: OwnFacts,
    private readonly quarantine: PromptQuarantine,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    rpc.registerMethod(exchangeMethod, (message: unknown) =>
      this.handle(this.readMessage(message, "caller")),
    );
  }

  /// Exchanges with the peer at `address`.
  async run(address: string, signal: AbortSignal): Promise<void> {
    const opening = this.composer.composeOpening(this.ownName);
    const reply = await this.call(address, opening, signal);
    if (reply === undefined) return;
    const { message, quarantine } = reply;
    const receiver = { ...this.composer.readReceiverState(message), quarantine };
    const isOlderVersion = message.withoutDocument === undefined;
    const differs = quarantine !== undefined && quarantine.digest !== this.quarantine.digest;
    const hasDocument = this.composer.hasDocumentFor(receiver);
    if (this.composer.hasTargetsFor(receiver) || differs || (isOlderVersion && hasDocument)) {
      const options = { withoutDocument: !isOlderVersion, defersDocument: true };
      await this.call(address, this.composer.compose(receiver, options), signal);
    }
    if (message.withoutDocument === true || (!isOlderVersion && hasDocument))
      this.startDocumentTransfer(address, receiver, signal);
  }

  // Documents may be large. They are exchanged apart from the frequent messages, whose timeout is
  // short because a silent peer must not hold them up, and one at a time.
  private startDocumentTransfer(
    address: string,
    receiver: ReceiverState,
    signal: AbortSignal,
  ): void {
    if (this.isTransferringDocument) return;
    this.isTransferringDocument = true;
    const message = this.composer.compose(receiver);
    const transfer = this.call(address, message, signal, documentTimeout).finally(() => {
      this.isTransferringDocument = false;
    });
    runDetached(this.logger, "document transfer", transfer);
  }

  // Sends `message` and merges the reply. Returns `undefined` if there is no valid one.
  private async call(
    address: string,
    message: PeerMessage,
    signal: AbortSignal,
    timeout = exchangeTimeout,
  ): Promise<{ message: PeerMessage; quarantine: QuarantineExchange | undefined } | undefined> {
    const askedAt = this.clock.monotonicTime();
    try {
      const value = await this.rpc.request(address, exchangeMethod, message, signal, timeout);
      const reply = this.readMessage(value, address);
      const quarantine = this.merger.merge(reply, address, true);
      this.merger.recordViews(reply, this.composer.readReceiverState(reply), askedAt);
      return { message: reply, quarantine };
    } catch (error) {
      if (!signal.aborted)
        this.logger.info("call to peer failed", { peer: address, reason: String(error) });
      return undefined;
    }
  }

  // Throws if `value` is no message, which ends the exchange.
  private readMessage(value: unknown, peer: string): PeerMessage {
    const read = readPeerMessage(value);
    if (read.isErr) throw new Error(`invalid message: ${read.error}`);
    const { message, faults } = read.value;
    if (faults.length > 0)
      this.logger.warn("ignoring invalid parts of a peer's message", {
        peer,
        count: faults.length,
        faults: faults.slice(0, maximumLoggedFaults),
      });
    return message;
  }

  private handle(message: PeerMessage): PeerMessage {
    const quarantine = this.merger.merge(message, "caller", false);
    this.ownFacts.publish();
    const receiver = { ...this.composer.readReceiverState(message), quarantine };
    const withoutDocument =
      message.defersDocument === true && this.composer.hasDocumentFor(receiver);
    return this.composer.compose(receiver, { withoutDocument });
  }
}
