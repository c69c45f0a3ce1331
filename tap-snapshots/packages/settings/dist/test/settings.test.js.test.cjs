/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/settings/dist/test/settings.test.js > TAP > an issue states the path, the value found and the expected value > issues 1`] = `
/routes/advice/kind: found "modl", wanted Invalid discriminator value. Expected 'model' | 'service'
/targets/Engine 1: found {}, wanted Invalid key in record
/targets/slow/host: found "example.org", wanted an IP address
/targets/slow/port: found 0, wanted a port number
/targets/slow/dataCentre: found nothing, wanted Invalid input: expected string, received undefined
/targets/slow/checksFencing: found nothing, wanted Invalid input: expected boolean, received undefined
/workspaces/one/weight: found -1, wanted Too small: expected number to be >0
/workspaces/one/tokenDigest: found "short", wanted a SHA-256 digest in lower-case hexadecimal
/: found {"routes":{"advice":{"kind":"modl"}},"targets":{"Engine 1":{},"slow":{"kind":"se…, wanted Unrecognized key: "surprise"
`

exports[`packages/settings/dist/test/settings.test.js > TAP > names and references are validated across all subtrees > issues 1`] = `
/b/routes/advice: found advice, wanted a name that team a does not use
/a/routes/advice/pipeline: found missing, wanted a name that exists in some subtree
`
