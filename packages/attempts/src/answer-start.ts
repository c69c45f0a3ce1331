//! The start of an answer on one target. A fault that is triggered by the content of a prompt
//! ends the target when the answer begins, so the start is over when the answer has progressed
//! for some time.
import type { Milliseconds } from "@lovagebend/common";

// Many passes of a busy engine, which writes at least one token in each.
const startDuration: Milliseconds = 500;

export class AnswerStart {
  private firstEventAt: Milliseconds | undefined;
  private hasSurvived = false;

  /// `onSurvival` is called once, when the start is over and the target still works.
  constructor(private readonly onSurvival: () => void) {}

  get isOver(): boolean {
    return this.hasSurvived;
  }

  get hasEvents(): boolean {
    return this.firstEventAt !== undefined;
  }

  recordEvents(now: Milliseconds): void {
    this.firstEventAt ??= now;
    if (now - this.firstEventAt >= startDuration) this.recordSurvival();
  }

  /// Records that the target has completed the answer. An answer whose end is not marked may
  /// have ended with its target, so it must not be recorded.
  recordCompletion(): void {
    this.recordSurvival();
  }

  private recordSurvival(): void {
    if (this.hasSurvived) return;
    this.hasSurvived = true;
    this.onSurvival();
  }
}
