//! Resume tokens: what a caller shows to another entry VM after its own has died,
//! so that the answer goes on without a lost or repeated token and without a
//! store. The token proves which tokens the caller was given.
import { createHash, createHmac, timingSafeEqual } from "node:crypto";

/// How far an answer has come: its request, and a running digest over the tokens
/// given so far.
export interface ResumePosition {
  readonly request: string;
  readonly tokens: number;
  readonly digest: string;
}

const signatureCharacters = 22;

/// Signs and checks resume tokens with the association's resume key.
export class ResumeKey {
  constructor(private readonly secret: string) {}

  /// The position before the first token. `context` is whatever must be the same
  /// when the answer is resumed: workspace, route and request body.
  begin(request: string, context: string): ResumePosition {
    return { request, tokens: 0, digest: createHash("sha256").update(context).digest("base64url") };
  }

  /// The position after one more token.
  advance(position: ResumePosition, token: number): ResumePosition {
    const digest = createHash("sha256").update(`${position.digest}:${token}`).digest("base64url");
    return { request: position.request, tokens: position.tokens + 1, digest };
  }

  /// The token that proves `position`.
  sign(position: ResumePosition): string {
    return `${position.request}.${position.tokens}.${this.signature(position)}`;
  }

  /// The position of an answer whose caller shows `resumeToken` and the tokens it
  /// was given; `undefined` where they do not belong together.
  verify(
    resumeToken: string,
    context: string,
    givenTokens: readonly number[],
  ): ResumePosition | undefined {
    const [request, , signature] = resumeToken.split(".");
    if (request === undefined || signature === undefined) return undefined;
    const begin = this.begin(request, context);
    const position = givenTokens.reduce((at, token) => this.advance(at, token), begin);
    const wanted = Buffer.from(this.signature(position));
    const found = Buffer.from(signature);
    if (wanted.length !== found.length || !timingSafeEqual(wanted, found)) return undefined;
    return position;
  }

  private signature(position: ResumePosition): string {
    return createHmac("sha256", this.secret)
      .update(`${position.request}.${position.tokens}.${position.digest}`)
      .digest("base64url")
      .slice(0, signatureCharacters);
  }
}
