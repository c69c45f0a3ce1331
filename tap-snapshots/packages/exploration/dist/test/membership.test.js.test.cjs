/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/exploration/dist/test/membership.test.js > TAP > a leaving notice in the platform's list takes effect > transcript 1`] = `
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

exports[`packages/exploration/dist/test/membership.test.js > TAP > a stale list after the notice does not revoke it > transcript 1`] = `
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

exports[`packages/exploration/dist/test/membership.test.js > TAP > a target's own leaving notice takes effect while the platform is unavailable > transcript 1`] = `
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

exports[`packages/exploration/dist/test/membership.test.js > TAP > an empty list after the notice keeps serving targets in the pool > transcript 1`] = `
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

exports[`packages/exploration/dist/test/membership.test.js > TAP > an entry VM partitioned from the platform receives the notice from its peers > transcript 1`] = `
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

exports[`packages/exploration/dist/test/membership.test.js > TAP > two failures: a target's own notice takes effect when the list is empty and an entry VM is partitioned from its peers > transcript 1`] = `
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

exports[`packages/exploration/dist/test/membership.test.js > TAP > two failures: the notice stays in effect when the list is stale and then empty > transcript 1`] = `
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

exports[`packages/exploration/dist/test/membership.test.js > TAP > two failures: the notice takes effect after a partition of the only entry VM that reads the list > transcript 1`] = `
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

exports[`packages/exploration/dist/test/membership.test.js > TAP > two failures: the notice takes effect when one entry VM is partitioned from the platform and its peers from each other > transcript 1`] = `
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
