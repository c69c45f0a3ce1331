/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/exploration/dist/test/settings.test.js > TAP > a change is invalid only together with another team's > session 1`] = `
     0  operator -> north-1: change orders from 0
     8  north-1 -> table: write settings/head settings/history/000000000001 settings/team/orders
    10  table -> north-1: committed (answered)
    12  north-1 -> operator: committed as 1
  1016  south-1: revision 1 in force
  2004  north-1: revision 1 in force
  2004  north-2: revision 1 in force
  3012  operator -> north-1: change advisory from 0
  3028  north-1 -> table: write settings/head settings/history/000000000002 settings/team/advisory
  3030  table -> north-1: committed (answered)
  3032  north-1 -> operator: committed as 2
  4032  south-1: revision 2 in force
  5010  north-1: revision 2 in force
  5010  north-2: revision 2 in force
  5012  operator -> north-2: change orders from 1
  5028  north-2 -> operator: invalid: /advisory/routes/advisory-borrowed/pipeline
  8012  operator -> north-1: change advisory from 2
  8028  north-1 -> table: write settings/head settings/history/000000000003 settings/team/advisory
  8030  table -> north-1: committed (answered)
  8032  north-1 -> operator: committed as 3
  8052  south-1: revision 3 in force
  9018  north-1: revision 3 in force
  9018  north-2: revision 3 in force
 11012  operator -> north-2: change orders from 1
 11028  north-2 -> table: write settings/head settings/history/000000000004 settings/team/orders
 11030  table -> north-2: committed (answered)
 11032  north-2 -> operator: committed as 4
 11068  south-1: revision 4 in force
 12024  north-1: revision 4 in force
 12024  north-2: revision 4 in force

`

exports[`packages/exploration/dist/test/settings.test.js > TAP > an entry VM is cut off from the platform and the others: accepted only when it is back > session 1`] = `
     0  operator -> north-1: change orders from 0
     8  north-1 -> table: write settings/head settings/history/000000000001 settings/team/orders
    10  table -> north-1: committed (answered)
    12  north-1 -> operator: committed as 1
  1016  south-1: revision 1 in force
  2004  north-1: revision 1 in force
  2004  north-2: revision 1 in force
  3012  operator -> north-1: change orders from 1
  3028  north-1 -> table: write settings/head settings/history/000000000002 settings/team/orders
  3030  table -> north-1: committed (answered)
  3032  north-1 -> operator: committed as 2
  4024  north-1: revision 2 in force
  4507  north-2: revision 2 in force
 14005  south-1: revision 2 in force

`

exports[`packages/exploration/dist/test/settings.test.js > TAP > an entry VM is cut off from the platform only and learns from its peers > session 1`] = `
     0  operator -> north-1: change orders from 0
     8  north-1 -> table: write settings/head settings/history/000000000001 settings/team/orders
    10  table -> north-1: committed (answered)
    12  north-1 -> operator: committed as 1
  1016  south-1: revision 1 in force
  2004  north-1: revision 1 in force
  2004  north-2: revision 1 in force
  3012  operator -> north-1: change orders from 1
  3028  north-1 -> table: write settings/head settings/history/000000000002 settings/team/orders
  3030  table -> north-1: committed (answered)
  3032  north-1 -> operator: committed as 2
  4274  north-1: revision 2 in force
  4509  north-2: revision 2 in force
  4509  south-1: revision 2 in force

`

exports[`packages/exploration/dist/test/settings.test.js > TAP > the answer to a change is lost after it took effect > session 1`] = `
     0  operator -> north-1: change orders from 0
     8  north-1 -> table: write settings/head settings/history/000000000001 settings/team/orders
    10  table -> north-1: committed (answer lost)
  1016  south-1: revision 1 in force
  1514  north-1 -> operator: committed as 1
  2004  north-1: revision 1 in force
  2004  north-2: revision 1 in force

`

exports[`packages/exploration/dist/test/settings.test.js > TAP > two failures: an entry VM is replaced twice while the platform is out > session 1`] = `
     0  operator -> north-1: change orders from 0
     8  north-1 -> table: write settings/head settings/history/000000000001 settings/team/orders
    10  table -> north-1: committed (answered)
    12  north-1 -> operator: committed as 1
  1016  south-1: revision 1 in force
  2004  north-1: revision 1 in force
  2004  north-2: revision 1 in force
  3012  operator -> north-1: change orders from 1
  3028  north-1 -> table: write settings/head settings/history/000000000002 settings/team/orders
  3030  table -> north-1: committed (answered)
  3032  north-1 -> operator: committed as 2
  4032  south-1: revision 2 in force
  5010  north-1: revision 2 in force
  5010  north-2: revision 2 in force
  7012  south-1 replaced
  7513  south-1: revision 2 in force
  8012  south-1 replaced
  8513  south-1: revision 2 in force

`

exports[`packages/exploration/dist/test/settings.test.js > TAP > two failures: an entry VM is replaced while the platform is out, and one peer is behind > session 1`] = `
     0  operator -> north-1: change orders from 0
     8  north-1 -> table: write settings/head settings/history/000000000001 settings/team/orders
    10  table -> north-1: committed (answered)
    12  north-1 -> operator: committed as 1
  1016  south-1: revision 1 in force
  2004  north-1: revision 1 in force
  2004  north-2: revision 1 in force
  3012  operator -> north-1: change orders from 1
  3028  north-1 -> table: write settings/head settings/history/000000000002 settings/team/orders
  3030  table -> north-1: committed (answered)
  3032  north-1 -> operator: committed as 2
  4032  south-1: revision 2 in force
  5007  north-1: revision 2 in force
  8012  south-1 replaced
  8513  south-1: revision 2 in force
  9005  north-2: revision 2 in force

`

exports[`packages/exploration/dist/test/settings.test.js > TAP > two operators change different subtrees at once: both win > session 1`] = `
     0  operator -> north-1: change orders from 0
     8  north-1 -> table: write settings/head settings/history/000000000001 settings/team/orders
    10  table -> north-1: committed (answered)
    12  north-1 -> operator: committed as 1
  1016  south-1: revision 1 in force
  2004  north-1: revision 1 in force
  2004  north-2: revision 1 in force
  3012  operator -> north-1: change advisory from 0
  3012  operator -> south-1: change orders from 1
  3028  north-1 -> table: write settings/head settings/history/000000000002 settings/team/advisory
  3028  south-1 -> table: write settings/head settings/history/000000000002 settings/team/orders
  3030  table -> north-1: committed (answered)
  3030  table -> south-1: conflict on settings/head settings/history/000000000002 (answered)
  3032  north-1 -> operator: committed as 2
  3044  south-1 -> table: write settings/head settings/history/000000000003 settings/team/orders
  3046  table -> south-1: committed (answered)
  3048  south-1 -> operator: committed as 3
  4032  south-1: revision 3 in force
  5010  north-1: revision 3 in force
  5010  north-2: revision 3 in force

`

exports[`packages/exploration/dist/test/settings.test.js > TAP > two operators race on one subtree: one wins, the other sees what it lost to > session 1`] = `
     0  operator -> north-1: change orders from 0
     8  north-1 -> table: write settings/head settings/history/000000000001 settings/team/orders
    10  table -> north-1: committed (answered)
    12  north-1 -> operator: committed as 1
  1016  south-1: revision 1 in force
  2004  north-1: revision 1 in force
  2004  north-2: revision 1 in force
  3012  operator -> north-1: change advisory from 0
  3012  operator -> south-1: change advisory from 0
  3028  north-1 -> table: write settings/head settings/history/000000000002 settings/team/advisory
  3028  south-1 -> table: write settings/head settings/history/000000000002 settings/team/advisory
  3030  table -> north-1: committed (answered)
  3030  table -> south-1: conflict on settings/head settings/history/000000000002 (answered)
  3032  north-1 -> operator: committed as 2
  3044  south-1 -> operator: lost to revision 2
  4032  south-1: revision 2 in force
  5010  north-1: revision 2 in force
  5010  north-2: revision 2 in force

`
