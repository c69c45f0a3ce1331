//! Resume tokens prove which tokens a caller was given, and to which request.
import t from "tap";
import { ResumeKey } from "../src/index.js";

const key = new ResumeKey("a key that all entry VMs share");
const context = "workshop, route and request body";
const given = [5, 17, 401];
const position = given.reduce(
  (at, token) => key.advance(at, token),
  key.begin("request-1", context),
);
const resumeToken = key.resumeToken(position);

t.test("another entry VM with the same key takes up the position", (t) => {
  t.same(
    new ResumeKey("a key that all entry VMs share").verify(resumeToken, context, given),
    position,
  );
  t.end();
});

const forgeries: Readonly<Record<string, readonly [string, string, readonly number[]]>> = {
  "a token left out": [resumeToken, context, [5, 401]],
  "a token too many": [resumeToken, context, [...given, 9]],
  "tokens swapped": [resumeToken, context, [17, 5, 401]],
  "another request body": [resumeToken, "another body", given],
  "another request": [resumeToken.replace("request-1", "request-2"), context, given],
  "no token at all": ["", context, given],
  "a cut signature": [resumeToken.slice(0, -1), context, given],
};

for (const [name, [token, about, tokens]] of Object.entries(forgeries)) {
  t.test(`${name} is refused`, (t) => {
    t.equal(key.verify(token, about, tokens), undefined);
    t.end();
  });
}

t.test("another key is refused", (t) => {
  t.equal(new ResumeKey("another key").verify(resumeToken, context, given), undefined);
  t.end();
});
