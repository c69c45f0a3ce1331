/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/exploration/dist/test/membership.test.js > TAP > an entry VM cut off from the platform hears it from its peers > session 1`] = `
     0  north-1: engine-1 serving
     0  north-1: engine-2 serving
     0  north-2: engine-1 serving
     0  north-2: engine-2 serving
     0  north-3: engine-1 serving
     0  north-3: engine-2 serving
 10000  north-1: engine-1 leaving
 10000  north-3: engine-1 leaving
 10500  north-2: engine-1 leaving

`

exports[`packages/exploration/dist/test/membership.test.js > TAP > the list is empty for a while after the notice > session 1`] = `
     0  north-1: engine-1 serving
     0  north-1: engine-2 serving
     0  north-2: engine-1 serving
     0  north-2: engine-2 serving
     0  north-3: engine-1 serving
     0  north-3: engine-2 serving
 10000  north-1: engine-1 leaving
 10000  north-2: engine-1 leaving
 10000  north-3: engine-1 leaving

`

exports[`packages/exploration/dist/test/membership.test.js > TAP > the list is stale for a while after the notice > session 1`] = `
     0  north-1: engine-1 serving
     0  north-1: engine-2 serving
     0  north-2: engine-1 serving
     0  north-2: engine-2 serving
     0  north-3: engine-1 serving
     0  north-3: engine-2 serving
 10000  north-1: engine-1 leaving
 10000  north-2: engine-1 leaving
 10000  north-3: engine-1 leaving

`

exports[`packages/exploration/dist/test/membership.test.js > TAP > the platform's list says that a target is leaving > session 1`] = `
     0  north-1: engine-1 serving
     0  north-1: engine-2 serving
     0  north-2: engine-1 serving
     0  north-2: engine-2 serving
     0  north-3: engine-1 serving
     0  north-3: engine-2 serving
 10000  north-1: engine-1 leaving
 10000  north-2: engine-1 leaving
 10000  north-3: engine-1 leaving

`

exports[`packages/exploration/dist/test/membership.test.js > TAP > the target itself says so while the platform is out > session 1`] = `
     0  north-1: engine-1 serving
     0  north-1: engine-2 serving
     0  north-2: engine-1 serving
     0  north-2: engine-2 serving
     0  north-3: engine-1 serving
     0  north-3: engine-2 serving
 10000  north-1: engine-1 leaving
 10500  north-2: engine-1 leaving
 10500  north-3: engine-1 leaving

`

exports[`packages/exploration/dist/test/membership.test.js > TAP > two failures: one entry VM is cut off from the platform, its peers from each other > session 1`] = `
     0  north-1: engine-1 serving
     0  north-1: engine-2 serving
     0  north-2: engine-1 serving
     0  north-2: engine-2 serving
     0  north-3: engine-1 serving
     0  north-3: engine-2 serving
 10000  north-2: engine-1 leaving
 10000  north-3: engine-1 leaving
 24000  north-1: engine-1 leaving

`

exports[`packages/exploration/dist/test/membership.test.js > TAP > two failures: the list is empty and an entry VM is cut off from its peers > session 1`] = `
     0  north-1: engine-1 serving
     0  north-1: engine-2 serving
     0  north-2: engine-1 serving
     0  north-2: engine-2 serving
     0  north-3: engine-1 serving
     0  north-3: engine-2 serving
 10000  north-1: engine-1 leaving
 10000  north-3: engine-1 leaving
 10500  north-2: engine-1 leaving

`

exports[`packages/exploration/dist/test/membership.test.js > TAP > two failures: the list is stale and then empty > session 1`] = `
     0  north-1: engine-1 serving
     0  north-1: engine-2 serving
     0  north-2: engine-1 serving
     0  north-2: engine-2 serving
     0  north-3: engine-1 serving
     0  north-3: engine-2 serving
 10000  north-1: engine-1 leaving
 10000  north-2: engine-1 leaving
 10000  north-3: engine-1 leaving

`

exports[`packages/exploration/dist/test/membership.test.js > TAP > two failures: the only entry VM that reads the list is cut off from its peers > session 1`] = `
     0  north-1: engine-1 serving
     0  north-1: engine-2 serving
     0  north-2: engine-1 serving
     0  north-2: engine-2 serving
     0  north-3: engine-1 serving
     0  north-3: engine-2 serving
  6000  north-3: engine-1 leaving
 11500  north-1: engine-1 leaving
 11500  north-2: engine-1 leaving

`
