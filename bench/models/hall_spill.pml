/* A hall that flaps, and fronts that prefer it: each front spills into the other hall while its own is lost, up to its
 * share of the bound, and goes back in stages of what a returning hall bears. No front hears of another.
 *
 *   spin -a hall_spill.pml && cc -O2 -o pan pan.c && ./pan -a -N bounded && ./pan -a -N not_pushed && ./pan -a -f -N home
 *
 * Assumptions, beside the code: one step of a front is one inference sent or ended (limits::Spill::sent, ended); the
 * bound is each front's own (Spill::at_bound), what is seen of the receiving hall is right (Knee::cap is a figure here);
 * a lost hall is known to a front at its next send (Halls::met); a hall that is back bears CARE of its capacity until it
 * is warm (Spill::bears), and is warm at some time. Flapping ends after FLAPS losses: what never ends is never home. */
#ifndef FRONTS
#define FRONTS 2
#endif
#ifndef FLAPS
#define FLAPS 2
#endif
#define BOUND 2  /* in work in the other hall for others, a front */
#define OWN 2    /* what a front has in work at the most */
#define CARE 1   /* of OWN, at a hall that is back and not warm */

bool down = false, warm = true;
byte lost = 0;               /* times */
byte away[FRONTS], home_[FRONTS];
bool open[FRONTS];           /* the next tier */
byte calm[FRONTS];
byte spilled = 0, at_home = 0, cold_work = 0;

active proctype hall() {
  do
  :: atomic { !down && lost < FLAPS -> down = true; warm = false; lost++; at_home = 0; cold_work = 0;
       byte k = 0; do :: k < FRONTS -> home_[k] = 0; k++ :: else -> break od }
  :: atomic { down -> down = false }
  :: atomic { !down && !warm -> warm = true; cold_work = 0 }
  :: lost == FLAPS && !down && warm -> break
  od
}

/* Calm for its hold: two of its steps, whatever they are, once its own hall is back and warm. */
inline step() {
  if
  :: open[me] && !down && warm && calm[me] == 1 -> open[me] = false; calm[me] = 0
  :: open[me] && !down && warm && calm[me] == 0 -> calm[me] = 1
  :: else -> calm[me] = 0
  fi
}

active [FRONTS] proctype front() {
  byte me = _pid - 1;
  do
  :: atomic { home_[me] + away[me] < OWN && down -> open[me] = true } /* a send is refused: the hall is lost to it */
  :: atomic { home_[me] + away[me] < OWN && !down && (warm || home_[me] < CARE) ->
       home_[me]++; at_home++; if :: !warm -> cold_work++ :: else fi; step() }
  :: atomic { home_[me] + away[me] < OWN && open[me] && away[me] < BOUND -> away[me]++; spilled++; step() }
  :: atomic { home_[me] > 0 -> home_[me]--; at_home--; if :: cold_work > 0 -> cold_work-- :: else fi; step() }
  :: atomic { away[me] > 0 -> away[me]--; spilled--; step() }
  od
}

/* Nothing that others spill passes the fronts' bounds; no hall that is back gets more than what it bears. */
ltl bounded { [] (spilled <= FRONTS * BOUND) }
ltl not_pushed { [] (cold_work <= FRONTS * CARE) }
/* Once flapping is over, every front keeps to its own hall again, infinitely often. */
ltl home { <> (lost == FLAPS && !down && warm && !open[0] && !open[1]) }
