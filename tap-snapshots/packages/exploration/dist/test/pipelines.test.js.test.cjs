/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/exploration/dist/test/pipelines.test.js > TAP > an answer is correct when a stage crashes > transcript 1`] = `
     0  entry -> engine-1: answer request-1.1 0..5
     2  entry -> engine-7: answer request-1.2 0..5
     4  entry -> caller 1: token 627
     4  entry -> engine-1: answer request-1.1 6..6
     6  entry -> engine-7: answer request-1.2 6..6
     8  entry -> caller 1: token 253
     8  entry -> engine-1: answer request-1.1 7..7
    10  entry -> engine-7: answer request-1.2 7..7
    12  entry -> caller 1: token 453
    12  entry -> engine-1: answer request-1.1 8..8
    14  entry -> engine-7: answer request-1.2 8..8
    14  engine-7 crashes
    15  entry: engine-7 (connection reset) replaced by engine-3 engine-5, 0 moved
    15  entry -> engine-1: recompute request-1.5 0..7
    17  entry -> engine-3: recompute request-1.3 0..7
    19  entry -> engine-3: answer request-1.3 8..8
    21  entry -> engine-1: recompute request-1.6 0..7
    23  entry -> engine-3: recompute request-1.7 0..7
    25  entry -> engine-5: recompute request-1.4 0..7
    27  entry -> engine-5: answer request-1.4 8..8
    29  entry -> caller 1: token 288
    29  entry -> engine-1: answer request-1.1 9..9
    31  entry -> engine-3: answer request-1.3 9..9
    33  entry -> engine-5: answer request-1.4 9..9
    35  entry -> caller 1: token 502
    35  entry -> engine-1: answer request-1.1 10..10
    37  entry -> engine-3: answer request-1.3 10..10
    39  entry -> engine-5: answer request-1.4 10..10
    41  entry -> caller 1: token 903
    41  entry -> engine-1: answer request-1.1 11..11
    43  entry -> engine-3: answer request-1.3 11..11
    45  entry -> engine-5: answer request-1.4 11..11
    47  entry -> caller 1: token 269
    47  entry -> engine-1: answer request-1.1 12..12
    49  entry -> engine-3: answer request-1.3 12..12
    51  entry -> engine-5: answer request-1.4 12..12
    53  entry -> caller 1: token 761

`

exports[`packages/exploration/dist/test/pipelines.test.js > TAP > an answer is correct when a stage freezes and resumes after its replacement > transcript 1`] = `
     0  entry -> engine-1: answer request-1.1 0..5
     2  entry -> engine-7: answer request-1.2 0..5
     4  entry -> caller 1: token 627
     4  entry -> engine-1: answer request-1.1 6..6
     6  entry -> engine-7: answer request-1.2 6..6
     8  entry -> caller 1: token 253
     8  entry -> engine-1: answer request-1.1 7..7
     8  engine-1 freezes
   908  entry: engine-1 (heartbeat timeout) replaced by engine-2, 0 moved
   908  entry -> engine-2: recompute request-1.3 0..6
   910  entry -> engine-2: answer request-1.3 7..7
   912  entry -> engine-7: answer request-1.2 7..7
   914  entry -> caller 1: token 453
   914  entry -> engine-2: answer request-1.3 8..8
   916  entry -> engine-7: answer request-1.2 8..8
   918  entry -> caller 1: token 288
   918  entry -> engine-2: answer request-1.3 9..9
   920  entry -> engine-7: answer request-1.2 9..9
   922  entry -> caller 1: token 502
   922  entry -> engine-2: answer request-1.3 10..10
   924  entry -> engine-7: answer request-1.2 10..10
   926  entry -> caller 1: token 903
   926  entry -> engine-2: answer request-1.3 11..11
   928  entry -> engine-7: answer request-1.2 11..11
   930  entry -> caller 1: token 269
   930  entry -> engine-2: answer request-1.3 12..12
   932  entry -> engine-7: answer request-1.2 12..12
   934  entry -> caller 1: token 761

`

exports[`packages/exploration/dist/test/pipelines.test.js > TAP > an answer is correct when a stage is leaving and its cache is moved > transcript 1`] = `
     0  entry -> engine-1: answer request-1.1 0..5
     2  entry -> engine-7: answer request-1.2 0..5
     4  entry -> caller 1: token 627
     4  entry -> engine-1: answer request-1.1 6..6
     6  entry -> engine-7: answer request-1.2 6..6
     8  entry -> caller 1: token 253
     8  entry -> engine-1: answer request-1.1 7..7
     8  engine-1 leaves
    10  entry -> engine-7: answer request-1.2 7..7
    12  entry -> caller 1: token 453
    12  entry -> engine-1: export request-1.1
    14  entry -> engine-2: import request-1.3, 8 positions
    16  entry: engine-1 (leaving) replaced by engine-2, 8 moved
    16  entry -> engine-2: answer request-1.3 8..8
    18  entry -> engine-7: answer request-1.2 8..8
    20  entry -> caller 1: token 288
    20  entry -> engine-2: answer request-1.3 9..9
    22  entry -> engine-7: answer request-1.2 9..9
    24  entry -> caller 1: token 502
    24  entry -> engine-2: answer request-1.3 10..10
    26  entry -> engine-7: answer request-1.2 10..10
    28  entry -> caller 1: token 903
    28  entry -> engine-2: answer request-1.3 11..11
    30  entry -> engine-7: answer request-1.2 11..11
    32  entry -> caller 1: token 269
    32  entry -> engine-2: answer request-1.3 12..12
    34  entry -> engine-7: answer request-1.2 12..12
    36  entry -> caller 1: token 761

`

exports[`packages/exploration/dist/test/pipelines.test.js > TAP > an answer is correct when a stage loses its caches > transcript 1`] = `
     0  entry -> engine-1: answer request-1.1 0..5
     2  entry -> engine-7: answer request-1.2 0..5
     4  entry -> caller 1: token 627
     4  entry -> engine-1: answer request-1.1 6..6
     6  entry -> engine-7: answer request-1.2 6..6
     8  entry -> caller 1: token 253
     8  entry -> engine-1: answer request-1.1 7..7
    10  entry -> engine-7: answer request-1.2 7..7
    12  entry -> caller 1: token 453
    12  entry -> engine-1: answer request-1.1 8..8
    14  entry -> engine-7: answer request-1.2 8..8
    16  entry -> caller 1: token 288
    16  entry -> engine-1: answer request-1.1 9..9
    18  entry -> engine-7: answer request-1.2 9..9
    18  engine-7 losesCaches
    20  entry: engine-7 (unknown sequence) replaced by engine-7, 0 moved
    20  entry -> engine-1: recompute request-1.4 0..8
    22  entry -> engine-7: recompute request-1.3 0..8
    24  entry -> engine-7: answer request-1.3 9..9
    26  entry -> caller 1: token 502
    26  entry -> engine-1: answer request-1.1 10..10
    28  entry -> engine-7: answer request-1.3 10..10
    30  entry -> caller 1: token 903
    30  entry -> engine-1: answer request-1.1 11..11
    32  entry -> engine-7: answer request-1.3 11..11
    34  entry -> caller 1: token 269
    34  entry -> engine-1: answer request-1.1 12..12
    36  entry -> engine-7: answer request-1.3 12..12
    38  entry -> caller 1: token 761

`

exports[`packages/exploration/dist/test/pipelines.test.js > TAP > an answer is correct when a stage's response is lost > transcript 1`] = `
     0  entry -> engine-1: answer request-1.1 0..5
     2  entry -> engine-7: answer request-1.2 0..5
     4  entry -> caller 1: token 627
     4  entry -> engine-1: answer request-1.1 6..6
     6  entry -> engine-7: answer request-1.2 6..6
     8  entry -> caller 1: token 253
     8  entry -> engine-1: answer request-1.1 7..7
    10  entry -> engine-7: answer request-1.2 7..7
    12  entry -> caller 1: token 453
    12  entry -> engine-1: answer request-1.1 8..8
    12  engine-1 losesResponse
   913  entry -> engine-1: repeat request-1.1 8
   913  entry -> engine-7: answer request-1.2 8..8
   915  entry -> caller 1: token 288
   915  entry -> engine-1: answer request-1.1 9..9
   917  entry -> engine-7: answer request-1.2 9..9
   919  entry -> caller 1: token 502
   919  entry -> engine-1: answer request-1.1 10..10
   921  entry -> engine-7: answer request-1.2 10..10
   923  entry -> caller 1: token 903
   923  entry -> engine-1: answer request-1.1 11..11
   925  entry -> engine-7: answer request-1.2 11..11
   927  entry -> caller 1: token 269
   927  entry -> engine-1: answer request-1.1 12..12
   929  entry -> engine-7: answer request-1.2 12..12
   931  entry -> caller 1: token 761

`

exports[`packages/exploration/dist/test/pipelines.test.js > TAP > an answer is refused when all engines of a layer range have crashed > transcript 1`] = `
     0  entry -> engine-1: answer request-1.1 0..5
     2  entry -> engine-7: answer request-1.2 0..5
     4  entry -> caller 1: token 627
     4  entry -> engine-1: answer request-1.1 6..6
     4  engine-1 crashes
     5  entry: engine-1 (connection reset) replaced by engine-2, 0 moved
     5  entry -> engine-2: recompute request-1.3 0..5
     5  engine-2 crashes
     6  entry: engine-2 (connection reset) replaced by engine-8 engine-5, 0 moved
     6  entry -> engine-8: recompute request-1.4 0..5
     6  engine-8 crashes
  5007  entry -> caller 1: no_path Layer 0 is held by no live target.

`

exports[`packages/exploration/dist/test/pipelines.test.js > TAP > two failures: an answer is correct when a stage crashes and then one that runs the recomputation > transcript 1`] = `
     0  entry -> engine-1: answer request-1.1 0..5
     2  entry -> engine-7: answer request-1.2 0..5
     4  entry -> caller 1: token 627
     4  entry -> engine-1: answer request-1.1 6..6
     6  entry -> engine-7: answer request-1.2 6..6
     8  entry -> caller 1: token 253
     8  entry -> engine-1: answer request-1.1 7..7
    10  entry -> engine-7: answer request-1.2 7..7
    12  entry -> caller 1: token 453
    12  entry -> engine-1: answer request-1.1 8..8
    14  entry -> engine-7: answer request-1.2 8..8
    14  engine-7 crashes
    15  entry: engine-7 (connection reset) replaced by engine-3 engine-5, 0 moved
    15  entry -> engine-1: recompute request-1.5 0..7
    17  entry -> engine-3: recompute request-1.3 0..7
    19  entry -> engine-3: answer request-1.3 8..8
    21  entry -> engine-1: recompute request-1.6 0..7
    21  engine-1 crashes
    22  entry: engine-1 (connection reset) replaced by engine-2, 0 moved
    22  entry -> engine-2: recompute request-1.8 0..7
    24  entry -> engine-2: answer request-1.8 8..8
    26  entry -> engine-3: answer request-1.3 8..8
    28  entry -> engine-2: recompute request-1.9 0..7
    30  entry -> engine-3: recompute request-1.10 0..7
    32  entry -> engine-5: recompute request-1.4 0..7
    34  entry -> engine-5: answer request-1.4 8..8
    36  entry -> caller 1: token 288
    36  entry -> engine-2: answer request-1.8 9..9
    38  entry -> engine-3: answer request-1.3 9..9
    40  entry -> engine-5: answer request-1.4 9..9
    42  entry -> caller 1: token 502
    42  entry -> engine-2: answer request-1.8 10..10
    44  entry -> engine-3: answer request-1.3 10..10
    46  entry -> engine-5: answer request-1.4 10..10
    48  entry -> caller 1: token 903
    48  entry -> engine-2: answer request-1.8 11..11
    50  entry -> engine-3: answer request-1.3 11..11
    52  entry -> engine-5: answer request-1.4 11..11
    54  entry -> caller 1: token 269
    54  entry -> engine-2: answer request-1.8 12..12
    56  entry -> engine-3: answer request-1.3 12..12
    58  entry -> engine-5: answer request-1.4 12..12
    60  entry -> caller 1: token 761

`

exports[`packages/exploration/dist/test/pipelines.test.js > TAP > two failures: an answer is correct when a stage is leaving and its successor crashes > transcript 1`] = `
     0  entry -> engine-1: answer request-1.1 0..5
     2  entry -> engine-7: answer request-1.2 0..5
     4  entry -> caller 1: token 627
     4  entry -> engine-1: answer request-1.1 6..6
     6  entry -> engine-7: answer request-1.2 6..6
     8  entry -> caller 1: token 253
     8  entry -> engine-1: answer request-1.1 7..7
     8  engine-1 leaves
    10  entry -> engine-7: answer request-1.2 7..7
    12  entry -> caller 1: token 453
    12  entry -> engine-1: export request-1.1
    14  entry -> engine-2: import request-1.3, 8 positions
    16  entry: engine-1 (leaving) replaced by engine-2, 8 moved
    16  entry -> engine-2: answer request-1.3 8..8
    18  entry -> engine-7: answer request-1.2 8..8
    20  entry -> caller 1: token 288
    20  entry -> engine-2: answer request-1.3 9..9
    20  engine-2 crashes
    21  entry: engine-2 (connection reset) replaced by engine-8 engine-5, 0 moved
    21  entry -> engine-8: recompute request-1.4 0..8
    23  entry -> engine-8: answer request-1.4 9..9
    25  entry -> engine-8: recompute request-1.6 0..8
    27  entry -> engine-5: recompute request-1.5 0..8
    29  entry -> engine-5: answer request-1.5 9..9
    31  entry -> caller 1: token 502
    31  entry -> engine-8: answer request-1.4 10..10
    33  entry -> engine-5: answer request-1.5 10..10
    35  entry -> caller 1: token 903
    35  entry -> engine-8: answer request-1.4 11..11
    37  entry -> engine-5: answer request-1.5 11..11
    39  entry -> caller 1: token 269
    39  entry -> engine-8: answer request-1.4 12..12
    41  entry -> engine-5: answer request-1.5 12..12
    43  entry -> caller 1: token 761

`

exports[`packages/exploration/dist/test/pipelines.test.js > TAP > two failures: an answer is correct when the same stage is lost twice > transcript 1`] = `
     0  entry -> engine-1: answer request-1.1 0..5
     2  entry -> engine-7: answer request-1.2 0..5
     4  entry -> caller 1: token 627
     4  entry -> engine-1: answer request-1.1 6..6
     6  entry -> engine-7: answer request-1.2 6..6
     8  entry -> caller 1: token 253
     8  entry -> engine-1: answer request-1.1 7..7
    10  entry -> engine-7: answer request-1.2 7..7
    12  entry -> caller 1: token 453
    12  entry -> engine-1: answer request-1.1 8..8
    14  entry -> engine-7: answer request-1.2 8..8
    14  engine-7 crashes
    15  entry: engine-7 (connection reset) replaced by engine-3 engine-5, 0 moved
    15  entry -> engine-1: recompute request-1.5 0..7
    17  entry -> engine-3: recompute request-1.3 0..7
    19  entry -> engine-3: answer request-1.3 8..8
    19  engine-3 freezes
   919  entry: engine-3 (heartbeat timeout) replaced by engine-4, 0 moved
   919  entry -> engine-1: recompute request-1.7 0..7
   921  entry -> engine-4: recompute request-1.6 0..7
   923  entry -> engine-4: answer request-1.6 8..8
   925  entry -> engine-1: recompute request-1.8 0..7
   927  entry -> engine-4: recompute request-1.9 0..7
   929  entry -> engine-5: recompute request-1.4 0..7
   931  entry -> engine-5: answer request-1.4 8..8
   933  entry -> caller 1: token 288
   933  entry -> engine-1: answer request-1.1 9..9
   935  entry -> engine-4: answer request-1.6 9..9
   937  entry -> engine-5: answer request-1.4 9..9
   939  entry -> caller 1: token 502
   939  entry -> engine-1: answer request-1.1 10..10
   941  entry -> engine-4: answer request-1.6 10..10
   943  entry -> engine-5: answer request-1.4 10..10
   945  entry -> caller 1: token 903
   945  entry -> engine-1: answer request-1.1 11..11
   947  entry -> engine-4: answer request-1.6 11..11
   949  entry -> engine-5: answer request-1.4 11..11
   951  entry -> caller 1: token 269
   951  entry -> engine-1: answer request-1.1 12..12
   953  entry -> engine-4: answer request-1.6 12..12
   955  entry -> engine-5: answer request-1.4 12..12
   957  entry -> caller 1: token 761

`
