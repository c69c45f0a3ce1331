/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/exploration/dist/test/orders.test.js > TAP > a holder freezes between its check and its send and wakes after its lease > session 1`] = `
     4  entry-a -> table: write leases/advice
     6  table -> entry-a: committed (answered)
  2014  entry-a -> table: write leases/advice
  2016  table -> entry-a: committed (answered)
  4024  entry-a -> table: write leases/advice
  4026  table -> entry-a: committed (answered)
  6034  entry-a -> table: write leases/advice
  6036  table -> entry-a: committed (answered)
  6040  entry-a -> engine-1: order 1, load v2
  6040  entry-a frozen for 40000 ms
 18140  entry-b -> table: write leases/advice
 18142  table -> entry-b: committed (answered)
 18146  entry-b -> engine-1: order 2, load v2
 18147  engine-1: loads v2
 18149  entry-b -> engine-2: order 2, load v2
 18150  engine-2: loads v2
 20156  entry-b -> table: write leases/advice
 20158  table -> entry-b: committed (answered)
 22166  entry-b -> table: write leases/advice
 22168  table -> entry-b: committed (answered)
 22172  entry-b -> engine-3: order 2, load v2
 22173  engine-3: loads v2
 24179  entry-b -> table: write leases/advice
 24181  table -> entry-b: committed (answered)
 26189  entry-b -> table: write leases/advice
 26191  table -> entry-b: committed (answered)
 28199  entry-b -> table: write leases/advice
 28201  table -> entry-b: committed (answered)
 30209  entry-b -> table: write leases/advice
 30211  table -> entry-b: committed (answered)
 32219  entry-b -> table: write leases/advice
 32221  table -> entry-b: committed (answered)
 34229  entry-b -> table: write leases/advice
 34231  table -> entry-b: committed (answered)
 36239  entry-b -> table: write leases/advice
 36241  table -> entry-b: committed (answered)
 38249  entry-b -> table: write leases/advice
 38251  table -> entry-b: committed (answered)
 40259  entry-b -> table: write leases/advice
 40261  table -> entry-b: committed (answered)
 42269  entry-b -> table: write leases/advice
 42271  table -> entry-b: committed (answered)
 44279  entry-b -> table: write leases/advice
 44281  table -> entry-b: committed (answered)
 46040  engine-1: refused order 1, has seen 2
 46289  entry-b -> table: write leases/advice
 46291  table -> entry-b: committed (answered)
 46295  entry-b -> engine-1: order 2, load v3
 46296  engine-1: loads v3
 46298  entry-b -> engine-2: order 2, load v3
 46299  engine-2: loads v3
 48305  entry-b -> table: write leases/advice
 48307  table -> entry-b: committed (answered)
 50315  entry-b -> table: write leases/advice
 50317  table -> entry-b: committed (answered)
 50321  entry-b -> engine-3: order 2, load v3
 50322  engine-3: loads v3
 52328  entry-b -> table: write leases/advice
 52330  table -> entry-b: committed (answered)
 54338  entry-b -> table: write leases/advice
 54340  table -> entry-b: committed (answered)
 56348  entry-b -> table: write leases/advice
 56350  table -> entry-b: committed (answered)
 58358  entry-b -> table: write leases/advice
 58360  table -> entry-b: committed (answered)
 60368  entry-b -> table: write leases/advice
 60370  table -> entry-b: committed (answered)
 62378  entry-b -> table: write leases/advice
 62380  table -> entry-b: committed (answered)
 64388  entry-b -> table: write leases/advice
 64390  table -> entry-b: committed (answered)
 66398  entry-b -> table: write leases/advice
 66400  table -> entry-b: committed (answered)
 68408  entry-b -> table: write leases/advice
 68410  table -> entry-b: committed (answered)
 70418  entry-b -> table: write leases/advice
 70420  table -> entry-b: committed (answered)
 72428  entry-b -> table: write leases/advice
 72430  table -> entry-b: committed (answered)
 74438  entry-b -> table: write leases/advice
 74440  table -> entry-b: committed (answered)
 76448  entry-b -> table: write leases/advice
 76450  table -> entry-b: committed (answered)
 78458  entry-b -> table: write leases/advice
 78460  table -> entry-b: committed (answered)
 80468  entry-b -> table: write leases/advice
 80470  table -> entry-b: committed (answered)
 82478  entry-b -> table: write leases/advice
 82480  table -> entry-b: committed (answered)
 84488  entry-b -> table: write leases/advice
 84490  table -> entry-b: committed (answered)
 86498  entry-b -> table: write leases/advice
 86500  table -> entry-b: committed (answered)
 88508  entry-b -> table: write leases/advice
 88510  table -> entry-b: committed (answered)
 90518  entry-b -> table: write leases/advice
 90520  table -> entry-b: committed (answered)
 92528  entry-b -> table: write leases/advice
 92530  table -> entry-b: committed (answered)
 94538  entry-b -> table: write leases/advice
 94540  table -> entry-b: committed (answered)
 96548  entry-b -> table: write leases/advice
 96550  table -> entry-b: committed (answered)
 98558  entry-b -> table: write leases/advice
 98560  table -> entry-b: committed (answered)
100568  entry-b -> table: write leases/advice
100570  table -> entry-b: committed (answered)
102578  entry-b -> table: write leases/advice
102580  table -> entry-b: committed (answered)
104588  entry-b -> table: write leases/advice
104590  table -> entry-b: committed (answered)
106598  entry-b -> table: write leases/advice
106600  table -> entry-b: committed (answered)
108608  entry-b -> table: write leases/advice
108610  table -> entry-b: committed (answered)
110618  entry-b -> table: write leases/advice
110620  table -> entry-b: committed (answered)
112628  entry-b -> table: write leases/advice
112630  table -> entry-b: committed (answered)
114638  entry-b -> table: write leases/advice
114640  table -> entry-b: committed (answered)
116648  entry-b -> table: write leases/advice
116650  table -> entry-b: committed (answered)
118658  entry-b -> table: write leases/advice
118660  table -> entry-b: committed (answered)
120004  entry-b -> table: write leases/advice
120006  table -> entry-b: committed (answered)

`

exports[`packages/exploration/dist/test/orders.test.js > TAP > an engine that ignores fencing numbers ends at the wanted version all the same > session 1`] = `
     4  entry-a -> table: write leases/advice
     6  table -> entry-a: committed (answered)
  2014  entry-a -> table: write leases/advice
  2016  table -> entry-a: committed (answered)
  4024  entry-a -> table: write leases/advice
  4026  table -> entry-a: committed (answered)
  6034  entry-a -> table: write leases/advice
  6036  table -> entry-a: committed (answered)
  6040  entry-a -> engine-1: order 1, load v2
  6041  engine-1: loads v2
  6043  entry-a -> engine-2: order 1, load v2
  6043  entry-a frozen for 60000 ms
 18140  entry-b -> table: write leases/advice
 18142  table -> entry-b: committed (answered)
 18146  entry-b -> engine-2: order 2, load v2
 18147  engine-2: loads v2
 18149  entry-b -> engine-3: order 2, load v2
 18150  engine-3: loads v2
 20156  entry-b -> table: write leases/advice
 20158  table -> entry-b: committed (answered)
 22166  entry-b -> table: write leases/advice
 22168  table -> entry-b: committed (answered)
 24176  entry-b -> table: write leases/advice
 24178  table -> entry-b: committed (answered)
 26186  entry-b -> table: write leases/advice
 26188  table -> entry-b: committed (answered)
 28196  entry-b -> table: write leases/advice
 28198  table -> entry-b: committed (answered)
 30206  entry-b -> table: write leases/advice
 30208  table -> entry-b: committed (answered)
 32216  entry-b -> table: write leases/advice
 32218  table -> entry-b: committed (answered)
 34226  entry-b -> table: write leases/advice
 34228  table -> entry-b: committed (answered)
 36236  entry-b -> table: write leases/advice
 36238  table -> entry-b: committed (answered)
 38246  entry-b -> table: write leases/advice
 38248  table -> entry-b: committed (answered)
 40256  entry-b -> table: write leases/advice
 40258  table -> entry-b: committed (answered)
 42266  entry-b -> table: write leases/advice
 42268  table -> entry-b: committed (answered)
 44276  entry-b -> table: write leases/advice
 44278  table -> entry-b: committed (answered)
 46286  entry-b -> table: write leases/advice
 46288  table -> entry-b: committed (answered)
 46292  entry-b -> engine-1: order 2, load v3
 46293  engine-1: loads v3
 46295  entry-b -> engine-2: order 2, load v3
 46296  engine-2: loads v3
 48302  entry-b -> table: write leases/advice
 48304  table -> entry-b: committed (answered)
 50312  entry-b -> table: write leases/advice
 50314  table -> entry-b: committed (answered)
 50318  entry-b -> engine-3: order 2, load v3
 50319  engine-3: loads v3
 52325  entry-b -> table: write leases/advice
 52327  table -> entry-b: committed (answered)
 54335  entry-b -> table: write leases/advice
 54337  table -> entry-b: committed (answered)
 56345  entry-b -> table: write leases/advice
 56347  table -> entry-b: committed (answered)
 58355  entry-b -> table: write leases/advice
 58357  table -> entry-b: committed (answered)
 60365  entry-b -> table: write leases/advice
 60367  table -> entry-b: committed (answered)
 62375  entry-b -> table: write leases/advice
 62377  table -> entry-b: committed (answered)
 64385  entry-b -> table: write leases/advice
 64387  table -> entry-b: committed (answered)
 66043  engine-2: refused order 1, has seen 2
 66395  entry-b -> table: write leases/advice
 66397  table -> entry-b: committed (answered)
 68405  entry-b -> table: write leases/advice
 68407  table -> entry-b: committed (answered)
 70415  entry-b -> table: write leases/advice
 70417  table -> entry-b: committed (answered)
 72425  entry-b -> table: write leases/advice
 72427  table -> entry-b: committed (answered)
 74435  entry-b -> table: write leases/advice
 74437  table -> entry-b: committed (answered)
 76445  entry-b -> table: write leases/advice
 76447  table -> entry-b: committed (answered)
 78455  entry-b -> table: write leases/advice
 78457  table -> entry-b: committed (answered)
 80465  entry-b -> table: write leases/advice
 80467  table -> entry-b: committed (answered)
 82475  entry-b -> table: write leases/advice
 82477  table -> entry-b: committed (answered)
 84485  entry-b -> table: write leases/advice
 84487  table -> entry-b: committed (answered)
 86495  entry-b -> table: write leases/advice
 86497  table -> entry-b: committed (answered)
 88505  entry-b -> table: write leases/advice
 88507  table -> entry-b: committed (answered)
 90515  entry-b -> table: write leases/advice
 90517  table -> entry-b: committed (answered)
 92525  entry-b -> table: write leases/advice
 92527  table -> entry-b: committed (answered)
 94535  entry-b -> table: write leases/advice
 94537  table -> entry-b: committed (answered)
 96545  entry-b -> table: write leases/advice
 96547  table -> entry-b: committed (answered)
 98555  entry-b -> table: write leases/advice
 98557  table -> entry-b: committed (answered)
100565  entry-b -> table: write leases/advice
100567  table -> entry-b: committed (answered)
102575  entry-b -> table: write leases/advice
102577  table -> entry-b: committed (answered)
104585  entry-b -> table: write leases/advice
104587  table -> entry-b: committed (answered)
106595  entry-b -> table: write leases/advice
106597  table -> entry-b: committed (answered)
108605  entry-b -> table: write leases/advice
108607  table -> entry-b: committed (answered)
110615  entry-b -> table: write leases/advice
110617  table -> entry-b: committed (answered)
112625  entry-b -> table: write leases/advice
112627  table -> entry-b: committed (answered)
114635  entry-b -> table: write leases/advice
114637  table -> entry-b: committed (answered)
116645  entry-b -> table: write leases/advice
116647  table -> entry-b: committed (answered)
118655  entry-b -> table: write leases/advice
118657  table -> entry-b: committed (answered)
120004  entry-b -> table: write leases/advice
120006  table -> entry-b: committed (answered)

`

exports[`packages/exploration/dist/test/orders.test.js > TAP > two failures: two holders freeze one after the other > session 1`] = `
     4  entry-a -> table: write leases/advice
     6  table -> entry-a: committed (answered)
  2014  entry-a -> table: write leases/advice
  2016  table -> entry-a: committed (answered)
  4024  entry-a -> table: write leases/advice
  4026  table -> entry-a: committed (answered)
  6034  entry-a -> table: write leases/advice
  6036  table -> entry-a: committed (answered)
  6040  entry-a -> engine-1: order 1, load v2
  6040  entry-a frozen for 40000 ms
 18140  entry-b -> table: write leases/advice
 18142  table -> entry-b: committed (answered)
 18146  entry-b -> engine-1: order 2, load v2
 18147  engine-1: loads v2
 18149  entry-b -> engine-2: order 2, load v2
 18149  entry-b frozen for 40000 ms
 30264  entry-c -> table: write leases/advice
 30266  table -> entry-c: committed (answered)
 30270  entry-c -> engine-2: order 3, load v2
 30271  engine-2: loads v2
 30273  entry-c -> engine-3: order 3, load v2
 30274  engine-3: loads v2
 32280  entry-c -> table: write leases/advice
 32282  table -> entry-c: committed (answered)
 34290  entry-c -> table: write leases/advice
 34292  table -> entry-c: committed (answered)
 36300  entry-c -> table: write leases/advice
 36302  table -> entry-c: committed (answered)
 38310  entry-c -> table: write leases/advice
 38312  table -> entry-c: committed (answered)
 40320  entry-c -> table: write leases/advice
 40322  table -> entry-c: committed (answered)
 42330  entry-c -> table: write leases/advice
 42332  table -> entry-c: committed (answered)
 44340  entry-c -> table: write leases/advice
 44342  table -> entry-c: committed (answered)
 46040  engine-1: refused order 1, has seen 2
 46350  entry-c -> table: write leases/advice
 46352  table -> entry-c: committed (answered)
 46356  entry-c -> engine-1: order 3, load v3
 46357  engine-1: loads v3
 46359  entry-c -> engine-2: order 3, load v3
 46360  engine-2: loads v3
 48366  entry-c -> table: write leases/advice
 48368  table -> entry-c: committed (answered)
 50376  entry-c -> table: write leases/advice
 50378  table -> entry-c: committed (answered)
 50382  entry-c -> engine-3: order 3, load v3
 50383  engine-3: loads v3
 52389  entry-c -> table: write leases/advice
 52391  table -> entry-c: committed (answered)
 54399  entry-c -> table: write leases/advice
 54401  table -> entry-c: committed (answered)
 56409  entry-c -> table: write leases/advice
 56411  table -> entry-c: committed (answered)
 58149  engine-2: refused order 2, has seen 3
 58419  entry-c -> table: write leases/advice
 58421  table -> entry-c: committed (answered)
 60429  entry-c -> table: write leases/advice
 60431  table -> entry-c: committed (answered)
 62439  entry-c -> table: write leases/advice
 62441  table -> entry-c: committed (answered)
 64449  entry-c -> table: write leases/advice
 64451  table -> entry-c: committed (answered)
 66459  entry-c -> table: write leases/advice
 66461  table -> entry-c: committed (answered)
 68469  entry-c -> table: write leases/advice
 68471  table -> entry-c: committed (answered)
 70479  entry-c -> table: write leases/advice
 70481  table -> entry-c: committed (answered)
 72489  entry-c -> table: write leases/advice
 72491  table -> entry-c: committed (answered)
 74499  entry-c -> table: write leases/advice
 74501  table -> entry-c: committed (answered)
 76509  entry-c -> table: write leases/advice
 76511  table -> entry-c: committed (answered)
 78519  entry-c -> table: write leases/advice
 78521  table -> entry-c: committed (answered)
 80529  entry-c -> table: write leases/advice
 80531  table -> entry-c: committed (answered)
 82539  entry-c -> table: write leases/advice
 82541  table -> entry-c: committed (answered)
 84549  entry-c -> table: write leases/advice
 84551  table -> entry-c: committed (answered)
 86559  entry-c -> table: write leases/advice
 86561  table -> entry-c: committed (answered)
 88569  entry-c -> table: write leases/advice
 88571  table -> entry-c: committed (answered)
 90579  entry-c -> table: write leases/advice
 90581  table -> entry-c: committed (answered)
 92589  entry-c -> table: write leases/advice
 92591  table -> entry-c: committed (answered)
 94599  entry-c -> table: write leases/advice
 94601  table -> entry-c: committed (answered)
 96609  entry-c -> table: write leases/advice
 96611  table -> entry-c: committed (answered)
 98619  entry-c -> table: write leases/advice
 98621  table -> entry-c: committed (answered)
100629  entry-c -> table: write leases/advice
100631  table -> entry-c: committed (answered)
102639  entry-c -> table: write leases/advice
102641  table -> entry-c: committed (answered)
104649  entry-c -> table: write leases/advice
104651  table -> entry-c: committed (answered)
106659  entry-c -> table: write leases/advice
106661  table -> entry-c: committed (answered)
108669  entry-c -> table: write leases/advice
108671  table -> entry-c: committed (answered)
110679  entry-c -> table: write leases/advice
110681  table -> entry-c: committed (answered)
112689  entry-c -> table: write leases/advice
112691  table -> entry-c: committed (answered)
114699  entry-c -> table: write leases/advice
114701  table -> entry-c: committed (answered)
116709  entry-c -> table: write leases/advice
116711  table -> entry-c: committed (answered)
118719  entry-c -> table: write leases/advice
118721  table -> entry-c: committed (answered)
120004  entry-c -> table: write leases/advice
120006  table -> entry-c: committed (answered)

`
