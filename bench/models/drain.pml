/* A front that is drained, taken back and restarted while clients come and two tools ask: once a drain has reported done,
 * nothing is in work and nothing is taken until it is taken back; a drain that is remembered stands through a restart.
 *
 *   spin -a drain.pml && cc -O2 -DNFAIR=4 -o pan pan.c && ./pan -a -N done_is_done && ./pan -a -N remembered &&
 *     ./pan -a -f -N ends
 *   with -DRACE=1 an inference asks whether it may begin before it counts itself: done_is_done fails
 *
 * Assumptions, beside the code: taking an inference and refusing new ones are under one lock (Core::open, refuse_new),
 * here atomic; the count is taken after new work is refused (Draining::run); the file is whole or not there
 * (files::write_atomically); a killed front's inferences are its clients' again. */
#ifndef RACE
#define RACE 0
#endif
bool refusing = false, draining = false, done = false, file = false, up = true, restarted_drained = false;
byte in_work = 0, restarts = 0, asks = 0;
bool taken_since_done = false;

active [2] proctype client() {
  byte n = 0;
  do
  :: n < 2 ->
     n++;
#if RACE
     if
     :: up && !refusing -> skip; atomic { if :: up -> in_work++; taken_since_done = done :: else -> goto next fi }
     :: else -> goto next
     fi;
#else
     atomic { if :: up && !refusing -> in_work++; taken_since_done = done :: else -> goto next fi };
#endif
     atomic { if :: up && in_work > 0 -> in_work-- :: else fi };
     next: skip
  :: else -> break
  od
}

active [2] proctype tool() {
  /* Drain, remembered: the file first, then the answer. */
  atomic { if :: up -> file = true; refusing = true; draining = true; asks++ :: else fi };
  if
  :: _pid == 3 -> /* this one takes it back, once or never */
     if
     :: atomic { up && draining -> draining = false; done = false; refusing = false; file = false }
     :: skip
     fi
  :: else
  fi
}

active proctype watcher() {
  do
  :: atomic { up && draining && !done && in_work == 0 && refusing -> done = true }
  :: atomic { up && !draining -> done = false }
  :: restarts == 1 && !up -> break
  :: timeout -> break
  od
}

active proctype machine() {
  if
  :: atomic { restarts == 0 -> up = false; restarts = 1; in_work = 0; done = false;
       /* and up again */
       draining = file; refusing = file; restarted_drained = file; up = true }
  :: skip
  fi
}

ltl done_is_done { [] (done -> (in_work == 0 && refusing)) }
ltl remembered { [] ((file && up) -> refusing) }
ltl ends { [] (draining -> <> (done || !draining)) }
