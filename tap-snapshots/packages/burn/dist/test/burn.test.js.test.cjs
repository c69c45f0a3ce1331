/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/burn/dist/test/burn.test.js > TAP > the report merges two entry VMs and counts each outcome in the windows that contain it > page 1`] = `
<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>body{font-family:sans-serif}td,th{padding:2px 8px;text-align:left}</style></head>
<body><h1>Service-level burn</h1><p>As of 1970-01-07T22:40:00.000Z. A burn above 1 spends the
budget too fast.</p><table><tr><th>workspace</th><th>objective</th><th>window</th><th>good</th>
<th>bad</th><th>burn</th><th></th></tr>
<tr><td>workshop</td><td>first-token</td><td>5 min</td><td>90</td><td>10</td><td>2.00</td><td><svg width="300" height="16"><rect width="60" height="16" fill="#b3261e"/></svg></td></tr>
<tr><td>workshop</td><td>first-token</td><td>60 min</td><td>90</td><td>10</td><td>2.00</td><td><svg width="300" height="16"><rect width="60" height="16" fill="#b3261e"/></svg></td></tr>
<tr><td>workshop</td><td>first-token</td><td>360 min</td><td>190</td><td>10</td><td>1.00</td><td><svg width="300" height="16"><rect width="30" height="16" fill="#2e7d32"/></svg></td></tr>
</table></body></html>

`

exports[`packages/burn/dist/test/burn.test.js > TAP > the report merges two entry VMs and counts each outcome in the windows that contain it > text 1`] = `
Burn as of 1970-01-07T22:40:00.000Z
workspace  objective    window   good  bad  burn
workshop   first-token  5 min    90    10   2.00
workshop   first-token  60 min   90    10   2.00
workshop   first-token  360 min  190   10   1.00
first-token: first token p50 147 ms, p95 190 ms, p99 198 ms

`
