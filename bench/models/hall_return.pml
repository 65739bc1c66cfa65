/* A hall goes dark and comes back cold; fronts that share nothing hear of it late, by a refused send, by a look that
 * finds it listening again, or from the roster. What an engine of it is sent in one window after its return must stay
 * within what a cold engine bears (rule 4), and in the end every front uses it again.
 *
 *   spin -a hall_return.pml && cc -O2 -o pan pan.c && ./pan -a -N bounded && ./pan -a -N used_again
 *   with -DHEARS=0 the roster never tells of the return (what fronts see by themselves must do)
 *
 * Assumptions, beside the code: a front takes its share of the cold budget, BUDGET / FRONTS, once it holds the engine
 * for fresh (Router::may_push); before that it sends at its share of the usual flow, WARM / FRONTS a window; a send to a
 * hall that is dark is refused and the front knows it at once (Halls::met); a hall seen to be lost is looked at before it
 * is used again, and what was refused counts as fresh (Halls::admit). A window is one step of the clock. */
#ifndef HEARS
#define HEARS 1
#endif
#define FRONTS 3
#define BUDGET 3 /* a window, all fronts together */
#define WARM 6   /* the usual flow, above what a cold engine bears */
#ifndef BEARS
#define BEARS 6 /* falls above this: the multiple of what it can do */
#endif

mtype = {warm, lost, fresh};
mtype knows[FRONTS];
bool down = false, back = false, cold = false;
byte sent = 0;     /* in this window */
byte mine[FRONTS]; /* by each front in this window */
byte windows = 0;  /* since the return */
bool told[FRONTS], used[FRONTS];

active proctype hall() {
  down = true;
  atomic { down = false; back = true; cold = true; sent = 0; }
  /* The engine warms up over three windows. */
  do
  :: atomic { windows < 3 -> windows++; sent = 0; mine[0] = 0; mine[1] = 0; mine[2] = 0 }
  :: windows == 3 -> cold = false; break
  od
}

active [FRONTS] proctype front() {
  byte me = _pid - 1;
  byte most;
  knows[me] = warm;
  do
  :: atomic { /* a send */
       (knows[me] != lost) ->
       if
       :: down -> knows[me] = lost /* refused */
       :: else ->
          if
          :: knows[me] == fresh && cold -> most = BUDGET / FRONTS
          :: else -> most = WARM / FRONTS
          fi;
          if
          :: mine[me] < most -> mine[me]++; if :: cold -> sent++ :: else fi; if :: back -> used[me] = true :: else fi
          :: else
          fi
       fi
     }
  :: atomic { knows[me] == lost && !down -> knows[me] = fresh } /* a look finds it there */
#if HEARS
  :: atomic { back && !told[me] -> told[me] = true; knows[me] = fresh } /* the roster, late */
#endif
  :: (back && !cold && used[me]) -> break
  od
}

ltl bounded { [] (sent <= BEARS) }
ltl used_again { <> (used[0] && used[1] && used[2]) }
