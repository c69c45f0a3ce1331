//! Resume tokens prove which tokens were delivered to a caller, and for which request.
import t from "tap";
import { ResumeKey } from "../src/index.js";

const key = new ResumeKey("a key that all entry VMs share");
const context = "workshop, route and request body";
const deliveredTokens = [5, 17, 401];
const position = deliveredTokens.reduce(
  (current, token) => key.advance(current, token),
  key.startPosition("request-1", context),
);
const resumeToken = key.formatToken(position);

t.test("another entry VM with the same key recovers the position", (t) => {
  t.same(
    new ResumeKey("a key that all entry VMs share").verify(resumeToken, context, deliveredTokens),
    position,
  );
  t.end();
});

const forgeries: Readonly<Record<string, readonly [string, string, readonly number[]]>> = {
  "a missing token": [resumeToken, context, [5, 401]],
  "an extra token": [resumeToken, context, [...deliveredTokens, 9]],
  "swapped tokens": [resumeToken, context, [17, 5, 401]],
  "another request body": [resumeToken, "another body", deliveredTokens],
  "another request identifier": [
    resumeToken.replace("request-1", "request-2"),
    context,
    deliveredTokens,
  ],
  "an empty resume token": ["", context, deliveredTokens],
  "a truncated signature": [resumeToken.slice(0, -1), context, deliveredTokens],
};

for (const [name, [token, presentedContext, tokens]] of Object.entries(forgeries)) {
  t.test(`${name} is refused`, (t) => {
    t.equal(key.verify(token, presentedContext, tokens), undefined);
    t.end();
  });
}

t.test("another key is refused", (t) => {
  t.equal(new ResumeKey("another key").verify(resumeToken, context, deliveredTokens), undefined);
  t.end();
});
