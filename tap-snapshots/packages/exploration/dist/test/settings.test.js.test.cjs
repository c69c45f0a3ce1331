/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/exploration/dist/test/settings.test.js > TAP > a change is accepted only after a partitioned entry VM is reachable again > transcript 1`] = `
     0  operator -> north-1: change orders from 0
     8  north-1 -> table: write settings/head settings/history/000000000001 settings/team/orders
    10  table -> north-1: committed (response sent)
    12  north-1 -> operator: committed as 1
  1016  south-1: revision 1 in force
  2004  north-1: revision 1 in force
  2004  north-2: revision 1 in force
  3012  operator -> north-1: change orders from 1
  3028  north-1 -> table: write settings/head settings/history/000000000002 settings/team/orders
  3030  table -> north-1: committed (response sent)
  3032  north-1 -> operator: committed as 2
  4024  north-1: revision 2 in force
  4507  north-2: revision 2 in force
 14005  south-1: revision 2 in force

`

exports[`packages/exploration/dist/test/settings.test.js > TAP > a change that is invalid in combination with another team's settings is refused > transcript 1`] = `
     0  operator -> north-1: change orders from 0
     8  north-1 -> table: write settings/head settings/history/000000000001 settings/team/orders
    10  table -> north-1: committed (response sent)
    12  north-1 -> operator: committed as 1
  1016  south-1: revision 1 in force
  2004  north-1: revision 1 in force
  2004  north-2: revision 1 in force
  3012  operator -> north-1: change advisory from 0
  3028  north-1 -> table: write settings/head settings/history/000000000002 settings/team/advisory
  3030  table -> north-1: committed (response sent)
  3032  north-1 -> operator: committed as 2
  4032  south-1: revision 2 in force
  5010  north-1: revision 2 in force
  5010  north-2: revision 2 in force
  5012  operator -> north-2: change orders from 1
  5028  north-2 -> operator: invalid: /advisory/routes/advisory-borrowed/pipeline
  8012  operator -> north-1: change advisory from 2
  8028  north-1 -> table: write settings/head settings/history/000000000003 settings/team/advisory
  8030  table -> north-1: committed (response sent)
  8032  north-1 -> operator: committed as 3
  8052  south-1: revision 3 in force
  9018  north-1: revision 3 in force
  9018  north-2: revision 3 in force
 11012  operator -> north-2: change orders from 1
 11028  north-2 -> table: write settings/head settings/history/000000000004 settings/team/orders
 11030  table -> north-2: committed (response sent)
 11032  north-2 -> operator: committed as 4
 11068  south-1: revision 4 in force
 12024  north-1: revision 4 in force
 12024  north-2: revision 4 in force

`

exports[`packages/exploration/dist/test/settings.test.js > TAP > a change whose response is lost after it took effect is reported as committed > transcript 1`] = `
     0  operator -> north-1: change orders from 0
     8  north-1 -> table: write settings/head settings/history/000000000001 settings/team/orders
    10  table -> north-1: committed (response lost)
  1016  south-1: revision 1 in force
  1514  north-1 -> operator: committed as 1
  2004  north-1: revision 1 in force
  2004  north-2: revision 1 in force

`

exports[`packages/exploration/dist/test/settings.test.js > TAP > an entry VM partitioned from the platform receives changes from its peers > transcript 1`] = `
     0  operator -> north-1: change orders from 0
     8  north-1 -> table: write settings/head settings/history/000000000001 settings/team/orders
    10  table -> north-1: committed (response sent)
    12  north-1 -> operator: committed as 1
  1016  south-1: revision 1 in force
  2004  north-1: revision 1 in force
  2004  north-2: revision 1 in force
  3012  operator -> north-1: change orders from 1
  3028  north-1 -> table: write settings/head settings/history/000000000002 settings/team/orders
  3030  table -> north-1: committed (response sent)
  3032  north-1 -> operator: committed as 2
  4274  north-1: revision 2 in force
  4509  north-2: revision 2 in force
  4509  south-1: revision 2 in force

`

exports[`packages/exploration/dist/test/settings.test.js > TAP > concurrent changes to different subtrees both commit > transcript 1`] = `
     0  operator -> north-1: change orders from 0
     8  north-1 -> table: write settings/head settings/history/000000000001 settings/team/orders
    10  table -> north-1: committed (response sent)
    12  north-1 -> operator: committed as 1
  1016  south-1: revision 1 in force
  2004  north-1: revision 1 in force
  2004  north-2: revision 1 in force
  3012  operator -> north-1: change advisory from 0
  3012  operator -> south-1: change orders from 1
  3028  north-1 -> table: write settings/head settings/history/000000000002 settings/team/advisory
  3028  south-1 -> table: write settings/head settings/history/000000000002 settings/team/orders
  3030  table -> north-1: committed (response sent)
  3030  table -> south-1: conflict on settings/head settings/history/000000000002 (response sent)
  3032  north-1 -> operator: committed as 2
  3044  south-1 -> table: write settings/head settings/history/000000000003 settings/team/orders
  3046  table -> south-1: committed (response sent)
  3048  south-1 -> operator: committed as 3
  4032  south-1: revision 3 in force
  5010  north-1: revision 3 in force
  5010  north-2: revision 3 in force

`

exports[`packages/exploration/dist/test/settings.test.js > TAP > one of two concurrent changes to a subtree commits and the other reports the conflicting revision > transcript 1`] = `
     0  operator -> north-1: change orders from 0
     8  north-1 -> table: write settings/head settings/history/000000000001 settings/team/orders
    10  table -> north-1: committed (response sent)
    12  north-1 -> operator: committed as 1
  1016  south-1: revision 1 in force
  2004  north-1: revision 1 in force
  2004  north-2: revision 1 in force
  3012  operator -> north-1: change advisory from 0
  3012  operator -> south-1: change advisory from 0
  3028  north-1 -> table: write settings/head settings/history/000000000002 settings/team/advisory
  3028  south-1 -> table: write settings/head settings/history/000000000002 settings/team/advisory
  3030  table -> north-1: committed (response sent)
  3030  table -> south-1: conflict on settings/head settings/history/000000000002 (response sent)
  3032  north-1 -> operator: committed as 2
  3044  south-1 -> operator: conflict with revision 2
  4032  south-1: revision 2 in force
  5010  north-1: revision 2 in force
  5010  north-2: revision 2 in force

`

exports[`packages/exploration/dist/test/settings.test.js > TAP > two failures: an entry VM replaced twice while the platform is unavailable receives the revision from its peers > transcript 1`] = `
     0  operator -> north-1: change orders from 0
     8  north-1 -> table: write settings/head settings/history/000000000001 settings/team/orders
    10  table -> north-1: committed (response sent)
    12  north-1 -> operator: committed as 1
  1016  south-1: revision 1 in force
  2004  north-1: revision 1 in force
  2004  north-2: revision 1 in force
  3012  operator -> north-1: change orders from 1
  3028  north-1 -> table: write settings/head settings/history/000000000002 settings/team/orders
  3030  table -> north-1: committed (response sent)
  3032  north-1 -> operator: committed as 2
  4032  south-1: revision 2 in force
  5010  north-1: revision 2 in force
  5010  north-2: revision 2 in force
  7012  south-1 replaced
  7513  south-1: revision 2 in force
  8012  south-1 replaced
  8513  south-1: revision 2 in force

`

exports[`packages/exploration/dist/test/settings.test.js > TAP > two failures: an entry VM replaced while the platform is unavailable and one peer is behind does not revert > transcript 1`] = `
     0  operator -> north-1: change orders from 0
     8  north-1 -> table: write settings/head settings/history/000000000001 settings/team/orders
    10  table -> north-1: committed (response sent)
    12  north-1 -> operator: committed as 1
  1016  south-1: revision 1 in force
  2004  north-1: revision 1 in force
  2004  north-2: revision 1 in force
  3012  operator -> north-1: change orders from 1
  3028  north-1 -> table: write settings/head settings/history/000000000002 settings/team/orders
  3030  table -> north-1: committed (response sent)
  3032  north-1 -> operator: committed as 2
  4032  south-1: revision 2 in force
  5007  north-1: revision 2 in force
  8012  south-1 replaced
  8513  south-1: revision 2 in force
  9005  north-2: revision 2 in force

`
