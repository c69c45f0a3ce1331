//! Resume tokens: what a caller shows to another entry VM after its own has died,
//! so that the answer goes on without a lost or repeated token and without a
//! store. The token proves which tokens the caller was given.
import { createHmac, timingSafeEqual } from "node:crypto";

/// How far an answer has come: its request, how many tokens were given, and a signature
/// over all of them in order.
export interface ResumePosition {
  readonly request: string;
  readonly tokens: number;
  readonly signature: string;
}

/// Signs and checks positions with the association's resume key. Each signature covers
/// the one before it, so one signing a token is enough.
export class ResumeKey {
  constructor(private readonly secret: string) {}

  /// The position before the first token. `context` is whatever must be the same when the
  /// answer is resumed: workspace, route and request body.
  begin(request: string, context: string): ResumePosition {
    return { request, tokens: 0, signature: this.sign(`${request}.${context}`) };
  }

  /// The position after one more token.
  advance(position: ResumePosition, token: number): ResumePosition {
    const signature = this.sign(`${position.signature}.${token}`);
    return { request: position.request, tokens: position.tokens + 1, signature };
  }

  /// The token that proves `position`.
  resumeToken({ request, tokens, signature }: ResumePosition): string {
    return `${request}.${tokens}.${signature}`;
  }

  /// The position of an answer whose caller shows `resumeToken` and the tokens it was
  /// given; `undefined` where they do not belong together.
  verify(
    resumeToken: string,
    context: string,
    givenTokens: readonly number[],
  ): ResumePosition | undefined {
    const [request, , signature] = resumeToken.split(".");
    if (request === undefined || signature === undefined) return undefined;
    const begin = this.begin(request, context);
    const position = givenTokens.reduce((at, token) => this.advance(at, token), begin);
    const wanted = Buffer.from(position.signature);
    const found = Buffer.from(signature);
    if (wanted.length !== found.length || !timingSafeEqual(wanted, found)) return undefined;
    return position;
  }

  private sign(text: string): string {
    return createHmac("sha256", this.secret).update(text).digest("base64url");
  }
}
