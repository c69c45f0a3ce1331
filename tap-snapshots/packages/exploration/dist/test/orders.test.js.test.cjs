/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/exploration/dist/test/orders.test.js > TAP > an engine that ignores fencing numbers reaches the desired version > transcript 1`] = `
     4  entry-a -> table: write leases/advice
     6  table -> entry-a: committed (response sent)
  2014  entry-a -> table: write leases/advice
  2016  table -> entry-a: committed (response sent)
  4024  entry-a -> table: write leases/advice
  4026  table -> entry-a: committed (response sent)
  6034  entry-a -> table: write leases/advice
  6036  table -> entry-a: committed (response sent)
  6040  entry-a -> engine-1: order 1, load v2
  6041  engine-1: loads v2
  6043  entry-a -> engine-2: order 1, load v2
  6043  entry-a frozen for 60000 ms
 18140  entry-b -> table: write leases/advice
 18142  table -> entry-b: committed (response sent)
 18146  entry-b -> engine-2: order 2, load v2
 18147  engine-2: loads v2
 18149  entry-b -> engine-3: order 2, load v2
 18150  engine-3: loads v2
 20156  entry-b -> table: write leases/advice
 20158  table -> entry-b: committed (response sent)
 22166  entry-b -> table: write leases/advice
 22168  table -> entry-b: committed (response sent)
 24176  entry-b -> table: write leases/advice
 24178  table -> entry-b: committed (response sent)
 26186  entry-b -> table: write leases/advice
 26188  table -> entry-b: committed (response sent)
 28196  entry-b -> table: write leases/advice
 28198  table -> entry-b: committed (response sent)
 30206  entry-b -> table: write leases/advice
 30208  table -> entry-b: committed (response sent)
 32216  entry-b -> table: write leases/advice
 32218  table -> entry-b: committed (response sent)
 34226  entry-b -> table: write leases/advice
 34228  table -> entry-b: committed (response sent)
 36236  entry-b -> table: write leases/advice
 36238  table -> entry-b: committed (response sent)
 38246  entry-b -> table: write leases/advice
 38248  table -> entry-b: committed (response sent)
 40256  entry-b -> table: write leases/advice
 40258  table -> entry-b: committed (response sent)
 42266  entry-b -> table: write leases/advice
 42268  table -> entry-b: committed (response sent)
 44276  entry-b -> table: write leases/advice
 44278  table -> entry-b: committed (response sent)
 46286  entry-b -> table: write leases/advice
 46288  table -> entry-b: committed (response sent)
 46292  entry-b -> engine-1: order 2, load v3
 46293  engine-1: loads v3
 46295  entry-b -> engine-2: order 2, load v3
 46296  engine-2: loads v3
 48302  entry-b -> table: write leases/advice
 48304  table -> entry-b: committed (response sent)
 50312  entry-b -> table: write leases/advice
 50314  table -> entry-b: committed (response sent)
 50318  entry-b -> engine-3: order 2, load v3
 50319  engine-3: loads v3
 52325  entry-b -> table: write leases/advice
 52327  table -> entry-b: committed (response sent)
 54335  entry-b -> table: write leases/advice
 54337  table -> entry-b: committed (response sent)
 56345  entry-b -> table: write leases/advice
 56347  table -> entry-b: committed (response sent)
 58355  entry-b -> table: write leases/advice
 58357  table -> entry-b: committed (response sent)
 60365  entry-b -> table: write leases/advice
 60367  table -> entry-b: committed (response sent)
 62375  entry-b -> table: write leases/advice
 62377  table -> entry-b: committed (response sent)
 64385  entry-b -> table: write leases/advice
 64387  table -> entry-b: committed (response sent)
 66043  engine-2: refused order 1, highest is 2
 66395  entry-b -> table: write leases/advice
 66397  table -> entry-b: committed (response sent)
 68405  entry-b -> table: write leases/advice
 68407  table -> entry-b: committed (response sent)
 70415  entry-b -> table: write leases/advice
 70417  table -> entry-b: committed (response sent)
 72425  entry-b -> table: write leases/advice
 72427  table -> entry-b: committed (response sent)
 74435  entry-b -> table: write leases/advice
 74437  table -> entry-b: committed (response sent)
 76445  entry-b -> table: write leases/advice
 76447  table -> entry-b: committed (response sent)
 78455  entry-b -> table: write leases/advice
 78457  table -> entry-b: committed (response sent)
 80465  entry-b -> table: write leases/advice
 80467  table -> entry-b: committed (response sent)
 82475  entry-b -> table: write leases/advice
 82477  table -> entry-b: committed (response sent)
 84485  entry-b -> table: write leases/advice
 84487  table -> entry-b: committed (response sent)
 86495  entry-b -> table: write leases/advice
 86497  table -> entry-b: committed (response sent)
 88505  entry-b -> table: write leases/advice
 88507  table -> entry-b: committed (response sent)
 90515  entry-b -> table: write leases/advice
 90517  table -> entry-b: committed (response sent)
 92525  entry-b -> table: write leases/advice
 92527  table -> entry-b: committed (response sent)
 94535  entry-b -> table: write leases/advice
 94537  table -> entry-b: committed (response sent)
 96545  entry-b -> table: write leases/advice
 96547  table -> entry-b: committed (response sent)
 98555  entry-b -> table: write leases/advice
 98557  table -> entry-b: committed (response sent)
100565  entry-b -> table: write leases/advice
100567  table -> entry-b: committed (response sent)
102575  entry-b -> table: write leases/advice
102577  table -> entry-b: committed (response sent)
104585  entry-b -> table: write leases/advice
104587  table -> entry-b: committed (response sent)
106595  entry-b -> table: write leases/advice
106597  table -> entry-b: committed (response sent)
108605  entry-b -> table: write leases/advice
108607  table -> entry-b: committed (response sent)
110615  entry-b -> table: write leases/advice
110617  table -> entry-b: committed (response sent)
112625  entry-b -> table: write leases/advice
112627  table -> entry-b: committed (response sent)
114635  entry-b -> table: write leases/advice
114637  table -> entry-b: committed (response sent)
116645  entry-b -> table: write leases/advice
116647  table -> entry-b: committed (response sent)
118655  entry-b -> table: write leases/advice
118657  table -> entry-b: committed (response sent)
120004  entry-b -> table: write leases/advice
120006  table -> entry-b: committed (response sent)

`

exports[`packages/exploration/dist/test/orders.test.js > TAP > orders are fenced when a holder freezes between its lease check and its send > transcript 1`] = `
     4  entry-a -> table: write leases/advice
     6  table -> entry-a: committed (response sent)
  2014  entry-a -> table: write leases/advice
  2016  table -> entry-a: committed (response sent)
  4024  entry-a -> table: write leases/advice
  4026  table -> entry-a: committed (response sent)
  6034  entry-a -> table: write leases/advice
  6036  table -> entry-a: committed (response sent)
  6040  entry-a -> engine-1: order 1, load v2
  6040  entry-a frozen for 40000 ms
 18140  entry-b -> table: write leases/advice
 18142  table -> entry-b: committed (response sent)
 18146  entry-b -> engine-1: order 2, load v2
 18147  engine-1: loads v2
 18149  entry-b -> engine-2: order 2, load v2
 18150  engine-2: loads v2
 20156  entry-b -> table: write leases/advice
 20158  table -> entry-b: committed (response sent)
 22166  entry-b -> table: write leases/advice
 22168  table -> entry-b: committed (response sent)
 22172  entry-b -> engine-3: order 2, load v2
 22173  engine-3: loads v2
 24179  entry-b -> table: write leases/advice
 24181  table -> entry-b: committed (response sent)
 26189  entry-b -> table: write leases/advice
 26191  table -> entry-b: committed (response sent)
 28199  entry-b -> table: write leases/advice
 28201  table -> entry-b: committed (response sent)
 30209  entry-b -> table: write leases/advice
 30211  table -> entry-b: committed (response sent)
 32219  entry-b -> table: write leases/advice
 32221  table -> entry-b: committed (response sent)
 34229  entry-b -> table: write leases/advice
 34231  table -> entry-b: committed (response sent)
 36239  entry-b -> table: write leases/advice
 36241  table -> entry-b: committed (response sent)
 38249  entry-b -> table: write leases/advice
 38251  table -> entry-b: committed (response sent)
 40259  entry-b -> table: write leases/advice
 40261  table -> entry-b: committed (response sent)
 42269  entry-b -> table: write leases/advice
 42271  table -> entry-b: committed (response sent)
 44279  entry-b -> table: write leases/advice
 44281  table -> entry-b: committed (response sent)
 46040  engine-1: refused order 1, highest is 2
 46289  entry-b -> table: write leases/advice
 46291  table -> entry-b: committed (response sent)
 46295  entry-b -> engine-1: order 2, load v3
 46296  engine-1: loads v3
 46298  entry-b -> engine-2: order 2, load v3
 46299  engine-2: loads v3
 48305  entry-b -> table: write leases/advice
 48307  table -> entry-b: committed (response sent)
 50315  entry-b -> table: write leases/advice
 50317  table -> entry-b: committed (response sent)
 50321  entry-b -> engine-3: order 2, load v3
 50322  engine-3: loads v3
 52328  entry-b -> table: write leases/advice
 52330  table -> entry-b: committed (response sent)
 54338  entry-b -> table: write leases/advice
 54340  table -> entry-b: committed (response sent)
 56348  entry-b -> table: write leases/advice
 56350  table -> entry-b: committed (response sent)
 58358  entry-b -> table: write leases/advice
 58360  table -> entry-b: committed (response sent)
 60368  entry-b -> table: write leases/advice
 60370  table -> entry-b: committed (response sent)
 62378  entry-b -> table: write leases/advice
 62380  table -> entry-b: committed (response sent)
 64388  entry-b -> table: write leases/advice
 64390  table -> entry-b: committed (response sent)
 66398  entry-b -> table: write leases/advice
 66400  table -> entry-b: committed (response sent)
 68408  entry-b -> table: write leases/advice
 68410  table -> entry-b: committed (response sent)
 70418  entry-b -> table: write leases/advice
 70420  table -> entry-b: committed (response sent)
 72428  entry-b -> table: write leases/advice
 72430  table -> entry-b: committed (response sent)
 74438  entry-b -> table: write leases/advice
 74440  table -> entry-b: committed (response sent)
 76448  entry-b -> table: write leases/advice
 76450  table -> entry-b: committed (response sent)
 78458  entry-b -> table: write leases/advice
 78460  table -> entry-b: committed (response sent)
 80468  entry-b -> table: write leases/advice
 80470  table -> entry-b: committed (response sent)
 82478  entry-b -> table: write leases/advice
 82480  table -> entry-b: committed (response sent)
 84488  entry-b -> table: write leases/advice
 84490  table -> entry-b: committed (response sent)
 86498  entry-b -> table: write leases/advice
 86500  table -> entry-b: committed (response sent)
 88508  entry-b -> table: write leases/advice
 88510  table -> entry-b: committed (response sent)
 90518  entry-b -> table: write leases/advice
 90520  table -> entry-b: committed (response sent)
 92528  entry-b -> table: write leases/advice
 92530  table -> entry-b: committed (response sent)
 94538  entry-b -> table: write leases/advice
 94540  table -> entry-b: committed (response sent)
 96548  entry-b -> table: write leases/advice
 96550  table -> entry-b: committed (response sent)
 98558  entry-b -> table: write leases/advice
 98560  table -> entry-b: committed (response sent)
100568  entry-b -> table: write leases/advice
100570  table -> entry-b: committed (response sent)
102578  entry-b -> table: write leases/advice
102580  table -> entry-b: committed (response sent)
104588  entry-b -> table: write leases/advice
104590  table -> entry-b: committed (response sent)
106598  entry-b -> table: write leases/advice
106600  table -> entry-b: committed (response sent)
108608  entry-b -> table: write leases/advice
108610  table -> entry-b: committed (response sent)
110618  entry-b -> table: write leases/advice
110620  table -> entry-b: committed (response sent)
112628  entry-b -> table: write leases/advice
112630  table -> entry-b: committed (response sent)
114638  entry-b -> table: write leases/advice
114640  table -> entry-b: committed (response sent)
116648  entry-b -> table: write leases/advice
116650  table -> entry-b: committed (response sent)
118658  entry-b -> table: write leases/advice
118660  table -> entry-b: committed (response sent)
120004  entry-b -> table: write leases/advice
120006  table -> entry-b: committed (response sent)

`

exports[`packages/exploration/dist/test/orders.test.js > TAP > two failures: orders are fenced when two holders freeze in succession > transcript 1`] = `
     4  entry-a -> table: write leases/advice
     6  table -> entry-a: committed (response sent)
  2014  entry-a -> table: write leases/advice
  2016  table -> entry-a: committed (response sent)
  4024  entry-a -> table: write leases/advice
  4026  table -> entry-a: committed (response sent)
  6034  entry-a -> table: write leases/advice
  6036  table -> entry-a: committed (response sent)
  6040  entry-a -> engine-1: order 1, load v2
  6040  entry-a frozen for 40000 ms
 18140  entry-b -> table: write leases/advice
 18142  table -> entry-b: committed (response sent)
 18146  entry-b -> engine-1: order 2, load v2
 18147  engine-1: loads v2
 18149  entry-b -> engine-2: order 2, load v2
 18149  entry-b frozen for 40000 ms
 30264  entry-c -> table: write leases/advice
 30266  table -> entry-c: committed (response sent)
 30270  entry-c -> engine-2: order 3, load v2
 30271  engine-2: loads v2
 30273  entry-c -> engine-3: order 3, load v2
 30274  engine-3: loads v2
 32280  entry-c -> table: write leases/advice
 32282  table -> entry-c: committed (response sent)
 34290  entry-c -> table: write leases/advice
 34292  table -> entry-c: committed (response sent)
 36300  entry-c -> table: write leases/advice
 36302  table -> entry-c: committed (response sent)
 38310  entry-c -> table: write leases/advice
 38312  table -> entry-c: committed (response sent)
 40320  entry-c -> table: write leases/advice
 40322  table -> entry-c: committed (response sent)
 42330  entry-c -> table: write leases/advice
 42332  table -> entry-c: committed (response sent)
 44340  entry-c -> table: write leases/advice
 44342  table -> entry-c: committed (response sent)
 46040  engine-1: refused order 1, highest is 2
 46350  entry-c -> table: write leases/advice
 46352  table -> entry-c: committed (response sent)
 46356  entry-c -> engine-1: order 3, load v3
 46357  engine-1: loads v3
 46359  entry-c -> engine-2: order 3, load v3
 46360  engine-2: loads v3
 48366  entry-c -> table: write leases/advice
 48368  table -> entry-c: committed (response sent)
 50376  entry-c -> table: write leases/advice
 50378  table -> entry-c: committed (response sent)
 50382  entry-c -> engine-3: order 3, load v3
 50383  engine-3: loads v3
 52389  entry-c -> table: write leases/advice
 52391  table -> entry-c: committed (response sent)
 54399  entry-c -> table: write leases/advice
 54401  table -> entry-c: committed (response sent)
 56409  entry-c -> table: write leases/advice
 56411  table -> entry-c: committed (response sent)
 58149  engine-2: refused order 2, highest is 3
 58419  entry-c -> table: write leases/advice
 58421  table -> entry-c: committed (response sent)
 60429  entry-c -> table: write leases/advice
 60431  table -> entry-c: committed (response sent)
 62439  entry-c -> table: write leases/advice
 62441  table -> entry-c: committed (response sent)
 64449  entry-c -> table: write leases/advice
 64451  table -> entry-c: committed (response sent)
 66459  entry-c -> table: write leases/advice
 66461  table -> entry-c: committed (response sent)
 68469  entry-c -> table: write leases/advice
 68471  table -> entry-c: committed (response sent)
 70479  entry-c -> table: write leases/advice
 70481  table -> entry-c: committed (response sent)
 72489  entry-c -> table: write leases/advice
 72491  table -> entry-c: committed (response sent)
 74499  entry-c -> table: write leases/advice
 74501  table -> entry-c: committed (response sent)
 76509  entry-c -> table: write leases/advice
 76511  table -> entry-c: committed (response sent)
 78519  entry-c -> table: write leases/advice
 78521  table -> entry-c: committed (response sent)
 80529  entry-c -> table: write leases/advice
 80531  table -> entry-c: committed (response sent)
 82539  entry-c -> table: write leases/advice
 82541  table -> entry-c: committed (response sent)
 84549  entry-c -> table: write leases/advice
 84551  table -> entry-c: committed (response sent)
 86559  entry-c -> table: write leases/advice
 86561  table -> entry-c: committed (response sent)
 88569  entry-c -> table: write leases/advice
 88571  table -> entry-c: committed (response sent)
 90579  entry-c -> table: write leases/advice
 90581  table -> entry-c: committed (response sent)
 92589  entry-c -> table: write leases/advice
 92591  table -> entry-c: committed (response sent)
 94599  entry-c -> table: write leases/advice
 94601  table -> entry-c: committed (response sent)
 96609  entry-c -> table: write leases/advice
 96611  table -> entry-c: committed (response sent)
 98619  entry-c -> table: write leases/advice
 98621  table -> entry-c: committed (response sent)
100629  entry-c -> table: write leases/advice
100631  table -> entry-c: committed (response sent)
102639  entry-c -> table: write leases/advice
102641  table -> entry-c: committed (response sent)
104649  entry-c -> table: write leases/advice
104651  table -> entry-c: committed (response sent)
106659  entry-c -> table: write leases/advice
106661  table -> entry-c: committed (response sent)
108669  entry-c -> table: write leases/advice
108671  table -> entry-c: committed (response sent)
110679  entry-c -> table: write leases/advice
110681  table -> entry-c: committed (response sent)
112689  entry-c -> table: write leases/advice
112691  table -> entry-c: committed (response sent)
114699  entry-c -> table: write leases/advice
114701  table -> entry-c: committed (response sent)
116709  entry-c -> table: write leases/advice
116711  table -> entry-c: committed (response sent)
118719  entry-c -> table: write leases/advice
118721  table -> entry-c: committed (response sent)
120004  entry-c -> table: write leases/advice
120006  table -> entry-c: committed (response sent)

`
