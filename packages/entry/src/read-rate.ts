//! Bounds a rate at which callers' requests are read, of all connections together: beyond it,
//! connections are read later, in turn.
import type { Milliseconds } from "@lovagebend/common";
import type { Socket } from "node:net";

const interval: Milliseconds = 100;

export class ReadRate {
  /// The paused connections in their order, with what was read of each since it was last paused.
  private readonly paused = new Map<Socket, number>();
  private readonly reading = new WeakMap<Socket, number>();
  /// The connections that have been paused before.
  private readonly kept = new WeakSet<Socket>();
  private readonly amountPerInterval: number;
  private intervalEnd: Milliseconds = -Infinity;
  /// What has been read in this interval, and beyond the rate before.
  private amount = 0;

  /// `onDelay` is called when the reading of a connection is paused.
  constructor(
    amountPerSecond: number,
    private readonly onDelay: () => void,
  ) {
    this.amountPerInterval = (amountPerSecond * interval) / 1_000;
  }

  /// Counts `amount`, which has been read on `socket`. Its reading pauses if that is too much. The
  /// request that is being read must be flowing.
  count(socket: Socket, amount: number): void {
    const now = performance.now();
    if (this.paused.size === 0 && now >= this.intervalEnd) {
      this.intervalEnd = now + interval;
      this.amount = 0;
    }
    this.amount += amount;
    const read = (this.reading.get(socket) ?? 0) + amount;
    this.reading.set(socket, read);
    if (this.amount < this.amountPerInterval) return;
    const isPaused = this.paused.has(socket);
    // The timer runs only while connections are paused.
    if (this.paused.size === 0) this.startTimer(this.intervalEnd - now);
    this.paused.set(socket, read);
    if (isPaused) return;
    this.onDelay();
    this.keepPaused(socket);
    socket.pause();
  }

  // Only the connection is paused. A request that is paused, or one that Node's server reads ahead for,
  // would queue the chunks of a whole block, and a queued chunk takes several hundred bytes. The
  // request that goes on flowing resumes its connection, which is undone here.
  private keepPaused(socket: Socket): void {
    if (this.kept.has(socket)) return;
    this.kept.add(socket);
    socket.on("resume", () => {
      if (this.paused.has(socket)) socket.pause();
    });
  }

  private startTimer(delay: Milliseconds): void {
    setTimeout(() => {
      this.resumeSome();
    }, delay).unref();
  }

  // Each connection that is resumed is expected to carry as much as before at once, so that only as
  // many are resumed as fit.
  private resumeSome(): void {
    this.amount = Math.max(0, this.amount - this.amountPerInterval);
    let expected = this.amount;
    for (const [socket, read] of this.paused) {
      if (expected >= this.amountPerInterval) break;
      this.paused.delete(socket);
      this.reading.delete(socket);
      if (socket.destroyed) continue;
      expected += read;
      socket.resume();
    }
    if (this.paused.size > 0) this.startTimer(interval);
  }
}
