//! Resume tokens: a caller presents one to another entry VM after its own has failed, so that
//! the answer continues without a lost or repeated token. The token proves which tokens were
//! delivered to the caller, so that no store is needed.
import { createHmac, timingSafeEqual } from "node:crypto";

/// The progress of an answer: its request, the number of tokens delivered, and a signature
/// over all of them in order.
export interface ResumePosition {
  readonly request: string;
  readonly tokenCount: number;
  readonly signature: string;
}

/// Signs and verifies positions with the association's resume key. Each signature covers the
/// one before it, so each token needs only one signing.
export class ResumeKey {
  constructor(private readonly secret: string) {}

  /// The position before the first token. `context` holds what must be equal when the answer
  /// is resumed: workspace, route and request body.
  startPosition(request: string, context: string): ResumePosition {
    return { request, tokenCount: 0, signature: this.sign(`${request}.${context}`) };
  }

  /// The position after one more token.
  advance(position: ResumePosition, token: number): ResumePosition {
    const signature = this.sign(`${position.signature}.${token}`);
    return { request: position.request, tokenCount: position.tokenCount + 1, signature };
  }

  /// The resume token that proves a position.
  formatToken({ request, tokenCount, signature }: ResumePosition): string {
    return `${request}.${tokenCount}.${signature}`;
  }

  /// The position that `resumeToken` proves for `deliveredTokens`, or `undefined` if they do
  /// not match.
  verify(
    resumeToken: string,
    context: string,
    deliveredTokens: readonly number[],
  ): ResumePosition | undefined {
    const [request, , signature] = resumeToken.split(".");
    if (request === undefined || signature === undefined) return undefined;
    const start = this.startPosition(request, context);
    const position = deliveredTokens.reduce(
      (current, token) => this.advance(current, token),
      start,
    );
    const expected = Buffer.from(position.signature);
    const actual = Buffer.from(signature);
    if (expected.length !== actual.length || !timingSafeEqual(expected, actual)) return undefined;
    return position;
  }

  private sign(text: string): string {
    return createHmac("sha256", this.secret).update(text).digest("base64url");
  }
}
