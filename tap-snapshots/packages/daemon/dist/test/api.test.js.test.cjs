/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/daemon/dist/test/api.test.js > TAP > a daemon answers callers, operators and peers > a booking runs once for each idempotency key > session 1`] = `
booked: POST /v1/services/portal/bookings
  200 {"booked":"cedar","number":N,"by":"portal-1"}
again: POST /v1/services/portal/bookings
  200 {"booked":"cedar","number":N,"by":"portal-1"}
key reused: POST /v1/services/portal/bookings
  422 {"error":{"kind":"key_reused","run":"not_run","advice":"never","message":"This key belongs to another request.","request":"ID"}}
no key: POST /v1/services/portal/bookings
  200 {"booked":"ash","number":N,"by":"portal-1"}
key too long: POST /v1/services/portal/bookings
  400 {"error":{"kind":"malformed_request","run":"not_run","advice":"never","message":"The request is not well formed. An idempotency key has 1 to 200 characters.","request":"ID"}}
stock: GET /v1/services/portal/stock?item=cedar
  200 {"item":"cedar","left":7}
route of others: POST /v1/services/portal/bookings
  403 {"error":{"kind":"forbidden","run":"not_run","advice":"never","message":"The bearer token does not allow this.","request":"ID"}}

`

exports[`packages/daemon/dist/test/api.test.js > TAP > a daemon answers callers, operators and peers > a model answer is streamed, sent whole, and resumed from its token > session 1`] = `
streamed: POST /v1/chat/completions
  200 id: ID.1.SIGNATURE
data: {"id":"ID","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"w548 ","token":548}}]}

id: ID.2.SIGNATURE
data: {"id":"ID","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"w836 ","token":836}}]}

id: ID.3.SIGNATURE
data: {"id":"ID","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"w803 ","token":803}}]}

data: [DONE]


whole: POST /v1/chat/completions
  200 {"id":"ID","object":"chat.completion","choices":[{"index":0,"message":{"role":"assistant","content":"w548 w836 w803 ","tokens":[548,836,803]},"finish_reason":"stop"}],"resume_token":"ID.3.SIGNATURE"}
resumed at the end: POST /v1/chat/completions
  200 {"id":"ID","object":"chat.completion","choices":[{"index":0,"message":{"role":"assistant","content":"","tokens":[]},"finish_reason":"stop"}],"resume_token":"ID.3.SIGNATURE"}
forged: POST /v1/chat/completions
  400 {"error":{"kind":"resume_invalid","run":"not_run","advice":"never","message":"The resume token does not match.","request":"ID"}}

`

exports[`packages/daemon/dist/test/api.test.js > TAP > a daemon answers callers, operators and peers > before it has settings it is live but not ready > session 1`] = `
balancer: GET /healthz
  200 {"live":true}
balancer: GET /readyz
  503 {"ready":false,"stopping":false}
caller: POST /v1/chat/completions
  401 {"error":{"kind":"unauthenticated","run":"not_run","advice":"never","message":"The bearer token is not known.","request":"ID"}}

`

exports[`packages/daemon/dist/test/api.test.js > TAP > a daemon answers callers, operators and peers > calls of peers are authenticated and validated > session 1`] = `
no key: POST /rpc
  401 {"error":{"kind":"unauthenticated","run":"not_run","advice":"never","message":"The bearer token is not known.","request":""}}
operator's key: POST /rpc
  401 {"error":{"kind":"unauthenticated","run":"not_run","advice":"never","message":"The bearer token is not known.","request":""}}
not a call: POST /rpc
  400 {"error":{"kind":"malformed_request","run":"not_run","advice":"never","message":"The request is not well formed. /jsonrpc: found nothing, wanted Invalid input: expected \\"2.0\\"\\n/method: found nothing, wanted Invalid input: expected string, received undefined\\n/id: found nothing, wanted Invalid input\\n/params: found nothing, wanted Invalid input: expected nonoptional, received undefined","request":""}}
unknown method: POST /rpc
  200 {"jsonrpc":"2.0","id":1,"error":{"code":-32601,"message":"Method not found"}}
settings, known: POST /rpc
  200 {"jsonrpc":"2.0","id":1,"result":{"revision":1,"whole":false,"changes":[]}}

`

exports[`packages/daemon/dist/test/api.test.js > TAP > a daemon answers callers, operators and peers > invalid requests of callers are refused with the kind of error > session 1`] = `
no token: POST /v1/chat/completions
  401 {"error":{"kind":"unauthenticated","run":"not_run","advice":"never","message":"The bearer token is not known.","request":"ID"}}
unknown token: POST /v1/chat/completions
  401 {"error":{"kind":"unauthenticated","run":"not_run","advice":"never","message":"The bearer token is not known.","request":"ID"}}
operator's key: POST /v1/chat/completions
  401 {"error":{"kind":"unauthenticated","run":"not_run","advice":"never","message":"The bearer token is not known.","request":"ID"}}
not JSON: POST /v1/chat/completions
  400 {"error":{"kind":"malformed_request","run":"not_run","advice":"never","message":"The request is not well formed. /: found {, wanted JSON","request":"ID"}}
wrong shape: POST /v1/chat/completions
  400 {"error":{"kind":"malformed_request","run":"not_run","advice":"never","message":"The request is not well formed. /model: found 7, wanted Invalid input: expected string, received number\\n/messages: found nothing, wanted Invalid input: expected array, received undefined","request":"ID"}}
empty prompt: POST /v1/chat/completions
  400 {"error":{"kind":"malformed_request","run":"not_run","advice":"never","message":"The request is not well formed. The prompt is empty.","request":"ID"}}
unknown route: POST /v1/chat/completions
  404 {"error":{"kind":"unknown_route","run":"not_run","advice":"never","message":"No route has this name.","request":"ID"}}
a service as a model: POST /v1/chat/completions
  404 {"error":{"kind":"unknown_route","run":"not_run","advice":"never","message":"No route has this name.","request":"ID"}}
route of others: POST /v1/chat/completions
  403 {"error":{"kind":"forbidden","run":"not_run","advice":"never","message":"The bearer token does not allow this.","request":"ID"}}
unknown path: POST /v2/anything
  404 {"error":{"kind":"unknown_route","run":"not_run","advice":"never","message":"No route has this name.","request":"ID"}}
too large: POST /v1/chat/completions
  413 {"error":{"kind":"request_too_large","run":"not_run","advice":"never","message":"The request is too large. At most 1048576 bytes are accepted.","request":"ID"}}

`

exports[`packages/daemon/dist/test/api.test.js > TAP > a daemon answers callers, operators and peers > requests of operators are authenticated, authorised and validated > session 1`] = `
no key: GET /v1/status
  401 {"error":{"kind":"unauthenticated","run":"not_run","advice":"never","message":"The bearer token is not known.","request":""}}
a caller's token: GET /v1/status
  401 {"error":{"kind":"unauthenticated","run":"not_run","advice":"never","message":"The bearer token is not known.","request":""}}
another team's subtree: PUT /v1/settings/team
  403 {"error":{"kind":"forbidden","run":"not_run","advice":"never","message":"The bearer token does not allow this.","request":""}}
out of date: PUT /v1/settings/team
  409 {"error":{"kind":"settings_conflict","run":"not_run","advice":"never","message":"The subtree changed since it was read. operator changed it at TIME, revision 1.","request":""}}
invalid: PUT /v1/settings/team
  422 {"error":{"kind":"settings_invalid","run":"not_run","advice":"never","message":"The settings are not valid. /team/routes/a/kind: found nothing, wanted Invalid discriminator value. Expected 'model' | 'service'","request":""}}
invalid with others: PUT /v1/settings/other
  422 {"error":{"kind":"settings_invalid","run":"not_run","advice":"never","message":"The settings are not valid. /other/routes/advice: found advice, wanted a name that team team does not use\\n/other/routes/portal: found portal, wanted a name that team team does not use\\n/other/pipelines/advice: found advice, wanted a name that team team does not use\\n/other/targets/engine-1: found engine-1, wanted a name that team team does not use\\n/other/targets/engine-2: found engine-2, wanted a name that team team does not use\\n/other/targets/engine-3: found engine-3, wanted a name that team team does not use\\n…
invalid team name: PUT /v1/settings/..%2f
  400 {"error":{"kind":"malformed_request","run":"not_run","advice":"never","message":"The request is not well formed. A team name has 1 to 63 characters of a-z, 0-9 and -.","request":""}}
not JSON: PUT /v1/settings/team
  400 {"error":{"kind":"malformed_request","run":"not_run","advice":"never","message":"The request is not well formed. /: found [, wanted JSON","request":""}}
unknown: GET /v1/nothing
  404 {"error":{"kind":"unknown_route","run":"not_run","advice":"never","message":"No route has this name.","request":""}}

`

exports[`packages/daemon/dist/test/api.test.js > TAP > parsing an invalid start-up file reports each fault > faults 1`] = `
Array [
  Object {
    "found": "\\"North 1\\"",
    "path": "/instance",
    "wanted": "a name of a-z, 0-9 and -",
  },
  Object {
    "found": "nothing",
    "path": "/dataCentre",
    "wanted": "Invalid input: expected string, received undefined",
  },
  Object {
    "found": "nothing",
    "path": "/callers",
    "wanted": "Invalid input: expected object, received undefined",
  },
  Object {
    "found": "nothing",
    "path": "/control",
    "wanted": "Invalid input: expected object, received undefined",
  },
  Object {
    "found": "nothing",
    "path": "/platformUrl",
    "wanted": "a URL such as http://10.0.0.1:7000",
  },
  Object {
    "found": "3",
    "path": "/peers",
    "wanted": "Invalid input: expected array, received number",
  },
  Object {
    "found": "\\"short\\"",
    "path": "/keys/peer",
    "wanted": "a key of 16 characters or more",
  },
  Object {
    "found": "nothing",
    "path": "/keys/resume",
    "wanted": "a key of 16 characters or more",
  },
  Object {
    "found": "nothing",
    "path": "/operators",
    "wanted": "Invalid input: expected array, received undefined",
  },
]
`
