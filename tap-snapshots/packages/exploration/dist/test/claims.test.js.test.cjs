/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/exploration/dist/test/claims.test.js > TAP > a booking is reported as not run during a store outage and runs once on a retry > transcript 1`] = `
     0  caller -> entry-a: book key-1 (first)
     0  entry-a -> table: write claims/key-1
     2  table -> entry-a: refused, unavailable
    54  entry-a -> table: write claims/key-1
    56  table -> entry-a: refused, unavailable
   158  entry-a -> table: write claims/key-1
   160  table -> entry-a: refused, unavailable
   362  entry-a -> table: write claims/key-1
   364  table -> entry-a: refused, unavailable
   766  entry-a -> table: write claims/key-1
   768  table -> entry-a: refused, unavailable
  1570  entry-a -> table: write claims/key-1
  1572  table -> entry-a: refused, unavailable
  3174  entry-a -> table: write claims/key-1
  3176  table -> entry-a: refused, unavailable
  5000  entry-a -> caller: key-1 not_run
  8000  caller -> entry-b: book key-1
  8000  entry-b -> table: write claims/key-1
  8002  table -> entry-b: committed (response sent)
  8004  entry-b -> service: key-1
  8005  service: ran key-1
  8010  entry-b -> table: write claims/key-1
  8012  table -> entry-b: committed (response sent)
  8014  entry-b -> caller: key-1 ran

`

exports[`packages/exploration/dist/test/claims.test.js > TAP > a booking runs at most once when its claim takes effect after the holder timed out > transcript 1`] = `
     0  caller -> entry-a: book key-1 (first)
     0  entry-a -> table: write claims/key-1
     2  table -> entry-a: committed (late, response lost)
  3054  entry-a -> table: write claims/key-1
  3056  table: write from entry-a lost
  6058  entry-a -> caller: key-1 not_run
 30000  caller -> entry-b: book key-1
 30000  entry-b -> table: write claims/key-1
 30002  table: write from entry-b lost
 33054  entry-b -> table: write claims/key-1
 33056  table: write from entry-b lost
 36058  entry-b -> caller: key-1 unknown
 38564  entry-a -> table: write claims/key-1
 38566  table -> entry-a: committed (response sent)

`

exports[`packages/exploration/dist/test/claims.test.js > TAP > a booking runs at most once when its holder freezes for minutes between claim and dispatch > transcript 1`] = `
     0  caller -> entry-a: book key-1
     0  entry-a -> table: write claims/key-1
     2  table -> entry-a: committed (response sent)
     4  entry-a frozen for 180000 ms
     4  entry-a -> service: key-1
     5  service: ran key-1
  1000  caller -> entry-b: book key-1
  1000  entry-b -> table: write claims/key-1
  1002  table -> entry-b: conflict on claims/key-1 (response sent)
  1008  entry-b -> caller: key-1 unknown
180008  entry-a -> table: write claims/key-1
180010  table -> entry-a: committed (response sent)
180012  entry-a -> caller: key-1 ran
200000  caller -> entry-c: book key-1
200000  entry-c -> table: write claims/key-1
200002  table -> entry-c: conflict on claims/key-1 (response sent)
200008  entry-c -> caller: key-1 ran

`

exports[`packages/exploration/dist/test/claims.test.js > TAP > a booking runs at most once when the connection fails after the request was written > transcript 1`] = `
     0  caller -> entry-a: book key-1 (first)
     0  entry-a -> table: write claims/key-1
     2  table -> entry-a: committed (response sent)
     4  entry-a -> service: key-1
     5  service: ran key-1
     5  service -> entry-a: no response
  4009  entry-a -> table: write claims/key-1
  4011  table -> entry-a: committed (response sent)
  4013  entry-a -> caller: key-1 unknown
  4113  caller -> entry-b: book key-1
  4113  entry-b -> table: write claims/key-1
  4115  table -> entry-b: conflict on claims/key-1 (response sent)
  4121  entry-b -> caller: key-1 unknown

`

exports[`packages/exploration/dist/test/claims.test.js > TAP > a booking runs once when its key reaches two entry VMs at once > transcript 1`] = `
     0  caller -> entry-a: book key-1
     0  entry-a -> table: write claims/key-1
     1  caller -> entry-b: book key-1
     1  entry-b -> table: write claims/key-1
     2  table -> entry-a: committed (response sent)
     3  table -> entry-b: conflict on claims/key-1 (response sent)
     4  entry-a -> service: key-1
     5  service: ran key-1
     9  entry-b -> caller: key-1 unknown
    10  entry-a -> table: write claims/key-1
    12  table -> entry-a: committed (response sent)
    14  entry-a -> caller: key-1 ran

`

exports[`packages/exploration/dist/test/claims.test.js > TAP > a booking runs once when the response to its claim is lost > transcript 1`] = `
     0  caller -> entry-a: book key-1
     0  entry-a -> table: write claims/key-1
     2  table -> entry-a: committed (response lost)
  1506  entry-a -> service: key-1
  1507  service: ran key-1
  1512  entry-a -> table: write claims/key-1
  1514  table -> entry-a: committed (response sent)
  1516  entry-a -> caller: key-1 ran

`

exports[`packages/exploration/dist/test/claims.test.js > TAP > the checker detects the violation of dispatchWithoutClaim > violation 1`] = `
key-1 ran 4 times
`

exports[`packages/exploration/dist/test/claims.test.js > TAP > the checker detects the violation of reportHeldAsNotRun > violation 1`] = `
submission 2 of key-1 was reported as not run, but it ran; submission 3 of key-1 was reported as not run, but it ran; submission 4 of key-1 was reported as not run, but it ran
`

exports[`packages/exploration/dist/test/claims.test.js > TAP > the checker detects the violation of reportUnavailableAsNotRun > violation 1`] = `
submission 2 of key-1 was reported as not run, but it ran; submission 3 of key-1 was reported as not run, but it ran
`

exports[`packages/exploration/dist/test/claims.test.js > TAP > the checker detects the violation of treatUnavailableAsGranted > violation 1`] = `
key-1 ran 2 times
`

exports[`packages/exploration/dist/test/claims.test.js > TAP > two failures: a booking runs at most once when its claim's response is lost and its holder freezes > transcript 1`] = `
     0  caller -> entry-a: book key-1
     0  entry-a frozen for 60000 ms
     0  entry-a -> table: write claims/key-1
     2  table -> entry-a: committed (response lost)
    10  caller -> entry-b: book key-1
    10  entry-b -> table: write claims/key-1
    12  table -> entry-b: conflict on claims/key-1 (response sent)
    18  entry-b -> caller: key-1 unknown
 60004  entry-a -> caller: key-1 unknown
 60008  entry-a -> table: write claims/key-1
 60010  table -> entry-a: committed (response sent)

`

exports[`packages/exploration/dist/test/claims.test.js > TAP > two failures: a booking runs at most once when the service's response is lost and the store fails before the verdict > transcript 1`] = `
     0  caller -> entry-a: book key-1 (first)
     0  entry-a -> table: write claims/key-1
     2  table -> entry-a: committed (response sent)
     4  entry-a -> service: key-1
     5  service: ran key-1
     5  service -> entry-a: no response
  4007  entry-a -> caller: key-1 unknown
  5007  caller -> entry-b: book key-1
  5007  entry-b -> table: write claims/key-1
  5009  table -> entry-b: refused, unavailable
  5061  entry-b -> table: write claims/key-1
  5063  table -> entry-b: refused, unavailable
  5165  entry-b -> table: write claims/key-1
  5167  table -> entry-b: refused, unavailable
  5369  entry-b -> table: write claims/key-1
  5371  table -> entry-b: refused, unavailable
  5773  entry-b -> table: write claims/key-1
  5775  table -> entry-b: refused, unavailable
  6577  entry-b -> table: write claims/key-1
  6579  table -> entry-b: refused, unavailable
  8181  entry-b -> table: write claims/key-1
  8183  table -> entry-b: refused, unavailable
 10007  entry-b -> caller: key-1 unknown
 40007  caller -> entry-c: book key-1
 40007  entry-c -> table: write claims/key-1
 40009  table -> entry-c: conflict on claims/key-1 (response sent)
 40015  entry-c -> caller: key-1 unknown
 40019  entry-a -> table: write claims/key-1
 40021  table -> entry-a: committed (response sent)

`
