//! Composes the messages of an exchange: what the receiver lacks of the facts, the tables, the
//! document in force and the quarantine.
import type { Clock } from "@lovagebend/common";
import type { GossipDigest, GossipState } from "@lovagebend/membership";
import type { PromptQuarantine, QuarantineExchange } from "@lovagebend/quarantine";
import type { Revision, TableTransfer } from "@lovagebend/store";
import { describeTables, type PeerMessage, type ViewAges } from "./peer-message.js";
import type { ReplicatedState } from "./replicated-state.js";

/// What the receiver of a message has, as far as it is known.
export interface ReceiverState {
  readonly digest: GossipDigest;
  readonly document: Revision;
  readonly targets: Revision;
  readonly settings: number | undefined;
  readonly quarantine?: QuarantineExchange | undefined;
}

export interface MessageOptions {
  /// Of all facts, only those of these owners are sent.
  readonly onlyOwners?: readonly string[];
  readonly withoutDocument?: boolean;
  readonly defersDocument?: boolean;
}

export class MessageComposer {
  constructor(
    private readonly gossip: GossipState,
    private readonly replicatedState: ReplicatedState,
    private readonly quarantine: PromptQuarantine,
    private readonly clock: Clock,
  ) {}

  compose(
    receiver: ReceiverState,
    { onlyOwners, withoutDocument = false, defersDocument = false }: MessageOptions = {},
  ): PeerMessage {
    const now = this.clock.monotonicTime();
    const facts = this.gossip.newerThan(receiver.digest, now);
    const { replicas } = this.replicatedState;
    const document = replicas.document.composeTransfer(receiver.document);
    const rows = withoutDocument ? [] : document.rows;
    const inForce = withoutDocument ? undefined : this.findDocumentFor(receiver);
    const isAmongRows = rows.some(
      ({ value }) => inForce !== undefined && value?.equals(inForce) === true,
    );
    return {
      digest: this.gossip.digest(),
      facts:
        onlyOwners === undefined ? facts : facts.filter(({ owner }) => onlyOwners.includes(owner)),
      ...describeTables({
        document: { ...document, rows },
        targets: replicas.targets.composeTransfer(receiver.targets),
      }),
      settings: {
        version: this.settingsVersion,
        value: isAmongRows ? null : (inForce?.toString("base64") ?? null),
      },
      withoutDocument,
      defersDocument,
      lapseGrace: this.replicatedState.targetRegistry.getRemainingGrace(),
      viewAges: this.describeViewAges(),
      quarantine: this.quarantine.composeExchange(receiver.quarantine, now),
    };
  }

  /// The opening message of an exchange with `owner`'s facts only. The peer's state is not known
  /// yet, so that it is sent none.
  composeOpening(owner: string): PeerMessage {
    const { document, targets } = this.replicatedState.replicas;
    const unknown = {
      digest: {},
      document: document.revision,
      targets: targets.revision,
      settings: undefined,
    };
    return this.compose(unknown, { onlyOwners: [owner], defersDocument: true });
  }

  /// What the sender of `message` has.
  readReceiverState(message: PeerMessage): ReceiverState {
    const { document, targets } = this.replicatedState.replicas;
    const { digest, versions, histories, settings } = message;
    // A receiver of an older version names no eras, and compares versions only.
    return {
      digest,
      document: {
        era: histories?.document.era ?? document.revision.era,
        version: versions.document,
      },
      targets: { era: histories?.targets.era ?? targets.revision.era, version: versions.targets },
      settings: settings?.version,
    };
  }

  hasTargetsFor(receiver: ReceiverState): boolean {
    return !isEmptyTransfer(
      this.replicatedState.replicas.targets.composeTransfer(receiver.targets),
    );
  }

  hasDocumentFor(receiver: ReceiverState): boolean {
    const transfer = this.replicatedState.replicas.document.composeTransfer(receiver.document);
    return !isEmptyTransfer(transfer) || this.findDocumentFor(receiver) !== undefined;
  }

  // Returns the operator's document in force if the receiver has an earlier one. A receiver of
  // an older version names none, and gets the row only.
  private findDocumentFor({ settings }: ReceiverState): Buffer | undefined {
    if (settings === undefined || this.settingsVersion <= settings) return undefined;
    return this.replicatedState.document;
  }

  private get settingsVersion(): number {
    return this.replicatedState.routes?.version ?? -1;
  }

  private describeViewAges(): ViewAges | undefined {
    const document = this.replicatedState.getViewAge("document");
    const targets = this.replicatedState.getViewAge("targets");
    if (!Number.isFinite(document + targets)) return undefined;
    return { document: Math.ceil(document), targets: Math.ceil(targets) };
  }
}

export function isEmptyTransfer({ rows, isWhole }: TableTransfer): boolean {
  return rows.length === 0 && !isWhole;
}
