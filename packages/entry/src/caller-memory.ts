//! The owner of the memory that callers' bytes hold: heads, bodies while they arrive, the bodies of
//! requests in progress, and answers that callers have not read. Its sum never exceeds its bound.

/// What the bytes of a share belong to.
export enum HeldBytes {
  /// A head or a body that has not arrived as a whole. Can be given up: nothing has run.
  Arriving = "arriving",
  /// A request that has been read. Targets may run it.
  InProgress = "in progress",
  /// An answer that the caller has not read.
  Unread = "unread",
}

/// A request with all that is kept of it beside its body: its head, its connection's buffers and
/// its objects.
export const requestBytes = 8 * 1024;

// Bodies of ordinary requests are far smaller.
const smallBytes = 64 * 1024;
// The rest is for small requests, so that a few large ones don't keep all others out.
const largeFraction = 0.75;

/// The memory of one request, or of one head that is arriving.
export class CallerShare {
  kind = HeldBytes.Arriving;
  bytes = 0;
  /// The progress of late: received or read bytes, halved with each sweep.
  recentBytes = 0;
  /// How many bytes are still to come, if the caller has announced it.
  missingBytes = Infinity;
  isReleased = false;
  private unreadBytes = 0;

  constructor(
    private readonly memory: CallerMemory,
    /// Called after the memory has given up the share.
    readonly drop: () => void,
  ) {}

  /// Holds `bytes` more. Returns false, and holds nothing more, if there is no room.
  add(bytes: number): boolean {
    return this.memory.resize(this, this.bytes + bytes);
  }

  /// Holds `bytes` in all. Returns as `add` does.
  resize(bytes: number): boolean {
    return this.memory.resize(this, bytes);
  }

  recordProgress(bytes: number): void {
    this.recentBytes += bytes;
    this.missingBytes -= bytes;
  }

  /// The request has been read.
  recordRead(): void {
    this.kind = HeldBytes.InProgress;
  }

  /// Of the answer, `bytes` have not been read. Returns as `add` does.
  holdUnread(bytes: number): boolean {
    const progress = this.unreadBytes - bytes;
    const hasRoom = this.memory.resize(this, this.bytes - progress);
    if (!hasRoom) return false;
    this.recentBytes += this.kind === HeldBytes.Unread ? Math.max(0, progress) : bytes;
    this.unreadBytes = bytes;
    this.kind = bytes === 0 ? HeldBytes.InProgress : HeldBytes.Unread;
    return true;
  }

  release(): void {
    this.memory.release(this);
  }
}

export class CallerMemory {
  /// Called for each share that is given up for others.
  onDrop: (kind: HeldBytes) => void = () => undefined;
  /// The shares, the oldest first.
  private readonly shares = new Set<CallerShare>();
  private heldBytes = 0;

  constructor(readonly maximumBytes: number) {}

  get usedBytes(): number {
    return this.heldBytes;
  }

  /// Opens a share without bytes. `drop` must not throw.
  open(drop: () => void): CallerShare {
    const share = new CallerShare(this, drop);
    this.shares.add(share);
    return share;
  }

  /// Gives `share` `bytes` in all, if need be by giving up others. Returns false if the share has
  /// been released, or if no other holds memory with less progress.
  resize(share: CallerShare, bytes: number): boolean {
    if (share.isReleased) return false;
    const added = bytes - share.bytes;
    const bound = bytes > smallBytes ? largeFraction * this.maximumBytes : this.maximumBytes;
    if (added > 0 && bytes > bound) return false;
    while (added > 0 && this.heldBytes + added > bound) {
      const least = this.findLeastProgress();
      if (least === undefined || least === share) return false;
      this.drop(least);
    }
    this.heldBytes += added;
    share.bytes = bytes;
    return true;
  }

  release(share: CallerShare): void {
    if (share.isReleased) return;
    share.isReleased = true;
    this.shares.delete(share);
    this.heldBytes -= share.bytes;
  }

  /// Gives up the arriving request with the least progress, if it makes hardly any. Returns
  /// whether there was one.
  dropStalled(): boolean {
    const least = this.findLeastProgress();
    if (least?.kind !== HeldBytes.Arriving || rankByProgress(least) < stalledRank) return false;
    this.drop(least);
    return true;
  }

  /// To be called in regular intervals, which progress is measured by.
  sweep(): void {
    for (const share of this.shares) share.recentBytes = Math.floor(share.recentBytes / 2);
  }

  private drop(share: CallerShare): void {
    this.release(share);
    this.onDrop(share.kind);
    share.drop();
  }

  // The share with the least progress for the memory that it holds; the oldest among equals.
  private findLeastProgress(): CallerShare | undefined {
    let least: CallerShare | undefined;
    let leastRank = -1;
    for (const share of this.shares) {
      if (!canBeGivenUp(share)) continue;
      const rank = rankByProgress(share);
      if (rank <= leastRank) continue;
      least = share;
      leastRank = rank;
    }
    return least;
  }
}

// Progress below an eighth of the held bytes.
const stalledRank = 3;

// How many times the held bytes exceed the progress of late, as a power of two. Small differences in
// progress count as equal.
function rankByProgress({ bytes, recentBytes }: CallerShare): number {
  return Math.max(0, Math.floor(Math.log2((bytes + 1) / (recentBytes + 1))));
}

// A body that arrives completely at its present pace before the next sweep is kept.
function canBeGivenUp({ kind, bytes, missingBytes, recentBytes }: CallerShare): boolean {
  switch (kind) {
    case HeldBytes.Arriving:
      return bytes > 0 && missingBytes > recentBytes;
    case HeldBytes.Unread:
      return true;
    case HeldBytes.InProgress:
      return false;
  }
}
