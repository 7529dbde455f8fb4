/*
 * Map rounds of a group whose engines hold the whole group before a step (source/maps/group_rounds.c):
 * two or three ranks, one or two leaders. Leader 0 has the lower fencing number, and goes on as if it
 * still led when leader 1 begins; leader 1 begins at any time.
 *
 * A leader acts on what it last heard of each rank. An order is carried out at once and answered, or its
 * answer is lost and it is carried out at any later time, or never. Time-outs come at any time, a bounded
 * number of them, and wherever nothing else can happen. Every run ends, and by then no rank may hold
 * the group (process the_end).
 *
 * Options: N_RANKS, ONE_LEADER, LOST (orders that may be lost), HASTE (time-outs that come early), ROUNDS
 * (each leader's), LAST_STEP, REFORM (the group is formed anew once), CRASH (leader 0 may die), FREEZE (the agent that gave a hold
 * stands still for good before it is heard of again), LEASE (the only leader's lease ends), COPY (a map is prepared some time
 * after the order was accepted; a leader without faults must not be refused).
 */

#ifndef N_RANKS
#define N_RANKS 2
#endif
#ifndef LAST_STEP
#define LAST_STEP 3
#endif
#ifndef LOST
#define LOST 1
#endif
#ifndef HASTE
#define HASTE 1
#endif
#ifndef ROUNDS_0
#define ROUNDS_0 1
#endif
#ifndef ROUNDS_1
#define ROUNDS_1 1
#endif
#define VERSIONS 8              /* of one leader */
#define NO_ONE 255

#ifdef ONE_LEADER
#define N_LEADERS 1
#else
#define N_LEADERS 2
#endif

#define V(l, r) ((l) * N_RANKS + (r))
#define FENCE(l) ((l) + 1)
#define OTHER(r) (((r) + 1) % N_RANKS)

mtype = { PREPARE, HOLD, ARM, DISARM, GO };
mtype = { LOOKING, CALM, PREPARING, HOLDING, ARMING, LETTING_GO, SETTLING, SECURING, CLEARING };

/* Engines. Step 0 has begun; a step of 0 means none. */
byte now_step;
byte now_epoch;
byte version[N_RANKS];
byte prepared[N_RANKS];
byte highest[N_RANKS];
byte armed[N_RANKS];
byte armed_step[N_RANKS];
byte held[N_RANKS];
byte sequence[N_RANKS];
byte fence[N_RANKS];

/* Agents. */
byte frozen = NO_ONE;

/* Leaders. */
bool started[2];
bool leading[2];
mtype phase[2] = LOOKING;
byte target[2];
byte clearing[2];
byte last_version[2];
byte step[2];
byte last_step[2];
byte seen_step[2];
byte holder[2];
bool own_hold[2];
bool refused[2];                /* the holder refused in this phase */
byte rounds[2];
byte epoch[2];
byte haste = HASTE;

/* What a leader heard last of each rank. */
bool known[2 * N_RANKS];
bool heard[2 * N_RANKS];        /* since its hold was seen */
byte r_epoch[2 * N_RANKS];
byte r_version[2 * N_RANKS];
byte r_prepared[2 * N_RANKS];
byte r_armed[2 * N_RANKS];
byte r_armed_step[2 * N_RANKS];
byte r_held[2 * N_RANKS];
byte r_sequence[2 * N_RANKS];

/* Orders that got no answer. */
#if LOST > 0
mtype late_kind[LOST];          /* 0: free */
byte late_rank[LOST];
byte late_fence[LOST];
byte late_epoch[LOST];
byte late_sequence[LOST];
byte late_version[LOST];
byte late_step[LOST];
#endif
byte lost;

#ifdef COPY
byte copied[N_RANKS];           /* the version that is being copied */
bool waiting[N_RANKS];          /* an order was accepted, its effect is to come */
#endif

#ifdef LEASE
byte lease;                     /* 0 good, 1 so near its end that no hold may begin, 2 ended */
bool early[N_RANKS];            /* the hold was ordered before */
#endif

byte did;
byte moved;
mtype o_kind;
byte o_version;
byte o_step;
byte i;

#ifdef NO_FENCE
#define FENCE_FITS(r, f) true
#else
#define FENCE_FITS(r, f) ((f) >= fence[r])
#endif
#ifdef NO_EPOCH
#define EPOCH_FITS(e) true
#else
#define EPOCH_FITS(e) ((e) == now_epoch)
#endif
#ifdef NO_SEQUENCE
#define COUNT_FITS(r, s) true
#else
#define COUNT_FITS(r, s) ((s) == sequence[r])
#endif

/* An engine carries an order out, if it fits. Only an order that does something raises the fence. */
inline carry_out (r, kind, f, e, s, v, st)
{
  did = false;
  if
  :: FENCE_FITS (r, f) && EPOCH_FITS (e) && COUNT_FITS (r, s) ->
     if
     :: kind == PREPARE && v > highest[r] && armed[r] == 0 ->
        highest[r] = v;
#ifdef COPY
        copied[r] = v;
#else
        prepared[r] = v;
#endif
        did = true
     :: kind == HOLD && held[r] == 0 && st > now_step ->
        held[r] = st;
#ifdef LEASE
        early[r] = (lease == 0);
#endif
        did = true
     :: kind == ARM && prepared[r] == v && st > now_step && !(armed[r] == v && armed_step[r] == st) ->
        armed[r] = v;
        armed_step[r] = st;
        did = true
     :: kind == DISARM && armed[r] == v && v != 0 ->
        armed[r] = 0;
        armed_step[r] = 0;
        did = true
     :: kind == GO && held[r] == st && st != 0 ->
        held[r] = 0;
        did = true
     :: else
     fi
  :: else
  fi;
  if
  :: did ->
     sequence[r]++;
     if
     :: fence[r] < f -> fence[r] = f
     :: else
     fi
  :: else
  fi
}

/* Views. The last rank is named twice in a group of two. */
#define LAST (N_RANKS - 1)
#define ANY_ARMED(l) (r_armed[V (l, 0)] != 0 || r_armed[V (l, 1)] != 0 || r_armed[V (l, LAST)] != 0)
#define ANY_HELD(l) (r_held[V (l, 0)] != 0 || r_held[V (l, 1)] != 0 || r_held[V (l, LAST)] != 0)
#define SAME(l) (r_version[V (l, 0)] == r_version[V (l, 1)] && r_version[V (l, 0)] == r_version[V (l, LAST)])
#define WHOLE(l) \
  (known[V (l, 0)] && known[V (l, 1)] && known[V (l, LAST)] && r_epoch[V (l, 0)] == r_epoch[V (l, 1)] && \
   r_epoch[V (l, 0)] == r_epoch[V (l, LAST)])
#define HAS_PREPARED(l, r) (r_prepared[V (l, r)] == target[l])
#define ALL_PREPARED(l) (HAS_PREPARED (l, 0) && HAS_PREPARED (l, 1) && HAS_PREPARED (l, LAST))
#define IS_ARMED(l, r) (r_armed[V (l, r)] == target[l] && r_armed_step[V (l, r)] == step[l])
#ifdef NO_BUMP
#define IS_BUMPED(l, r) true
#else
#define IS_BUMPED(l, r) (r_prepared[V (l, r)] == clearing[l])
#endif
#define IS_CLEAR(l, r) (r_armed[V (l, r)] == 0 && IS_BUMPED (l, r))
#define IS_CLEARED(l) (IS_CLEAR (l, 0) && IS_CLEAR (l, 1) && IS_CLEAR (l, LAST))

#ifdef NO_HEAR_ALL
#define ALL_HEARD(l) true
#else
#define ALL_HEARD(l) (heard[V (l, 0)] && heard[V (l, 1)] && heard[V (l, LAST)])
#endif
#ifdef NO_ARM_ALL
#define ALL_ARMED(l) ANY_ARMED (l)
#else
#define ALL_ARMED(l) (IS_ARMED (l, 0) && IS_ARMED (l, 1) && IS_ARMED (l, LAST))
#endif
#ifdef LEASE
#define MAY_HOLD_NEW(l) (lease == 0)
#ifdef LIMIT_ONCE
#define MAY_HOLD(l) true
#else
#define MAY_HOLD(l) (lease == 0)
#endif
#ifdef NO_LEASE_LIMIT
#undef MAY_HOLD_NEW
#undef MAY_HOLD
#define MAY_HOLD_NEW(l) true
#define MAY_HOLD(l) true
#endif
#else
#define MAY_HOLD_NEW(l) true
#define MAY_HOLD(l) true
#endif

inline set_phase (l, p)
{
  phase[l] = p;
  refused[l] = false;
  moved = true
}

inline start_clearing (l)
{
  target[l] = 0;
  last_version[l]++;
  assert (last_version[l] < VERSIONS);
  clearing[l] = l * VERSIONS + last_version[l];
  set_phase (l, CLEARING)
}

/* A rank that holds nothing, any of them; when all hold, the one that holds the earliest step. */
#define NO_EARLIER(l, r) \
  (r_held[V (l, r)] <= r_held[V (l, 0)] && r_held[V (l, r)] <= r_held[V (l, 1)] && \
   r_held[V (l, r)] <= r_held[V (l, N_RANKS - 1)])
#define MAY_BE_HOLDER(l, r) (r_held[V (l, r)] == 0 || NO_EARLIER (l, r))

inline choose_holder (l)
{
  if
  :: MAY_BE_HOLDER (l, 0) -> holder[l] = 0
  :: MAY_BE_HOLDER (l, 1) -> holder[l] = 1
#if N_RANKS > 2
  :: MAY_BE_HOLDER (l, 2) -> holder[l] = 2
#endif
  fi
}

/* Without a step left the round is given up; the bound is the model's own. */
inline choose_step (l)
{
  step[l] = seen_step[l];
  if
#ifndef STEP_TWICE
  :: step[l] < last_step[l] -> step[l] = last_step[l]
#endif
  :: else
  fi;
  step[l]++;
  own_hold[l] = false;
  if
  :: step[l] > LAST_STEP ->
     step[l] = 0;
     target[l] = 0;
     set_phase (l, LOOKING)
  :: else ->
     if
     :: last_step[l] < step[l] -> last_step[l] = step[l]
     :: else
     fi;
     choose_holder (l);
#ifdef NO_HOLD
     set_phase (l, ARMING)
#else
     set_phase (l, HOLDING)
#endif
  fi
}

inline find_armed_step (l)
{
  step[l] = 0;
  i = 0;
  do
  :: i < N_RANKS ->
     if
     :: r_armed[V (l, i)] != 0 && (step[l] == 0 || r_armed_step[V (l, i)] < step[l]) ->
        step[l] = r_armed_step[V (l, i)]
     :: else
     fi;
     i++
  :: else -> break
  od;
  i = 0
}

#ifdef COMPLETE_FOUND
#define SAME_ARMS(l) \
  (r_armed[V (l, 0)] != 0 && r_armed[V (l, 0)] == r_armed[V (l, 1)] && \
   r_armed[V (l, 0)] == r_armed[V (l, N_RANKS - 1)])
#endif

/* A hold that another leader gave is this one's own once the rank has accepted its version: the rank refuses
 * the others from then on. */
#define SECURES_HELD(l) (clearing[l] != 0)
#define IS_HELD_SECURED(l) \
  (r_held[V (l, holder[l])] != 0 && r_armed[V (l, holder[l])] == 0 && r_prepared[V (l, holder[l])] == clearing[l])

#ifdef NO_HELD_SECURED
#define ALL_HOLD(l) (r_held[V (l, 0)] != 0 && r_held[V (l, 1)] != 0 && r_held[V (l, LAST)] != 0)
#define IS_HOLD_CHANGED(l) \
  (r_held[V (l, holder[l])] != 0 && (!ALL_HOLD (l) || r_held[V (l, holder[l])] != step[l]))
#else
#define IS_HOLD_CHANGED(l) ((r_held[V (l, holder[l])] != 0) != SECURES_HELD (l))
#endif

inline look (l)
{
  target[l] = 0;
  own_hold[l] = false;
  clearing[l] = 0;
  epoch[l] = r_epoch[V (l, 0)];
  if
  :: !ANY_ARMED (l) && !ANY_HELD (l) ->
     if
     :: SAME (l) -> step[l] = 0; set_phase (l, CALM)
     :: else
     fi
#ifdef COMPLETE_FOUND
  :: SAME_ARMS (l) -> set_phase (l, LETTING_GO)
#endif
  :: !ANY_ARMED (l) && ANY_HELD (l) -> step[l] = 0; start_clearing (l)
  :: else ->
     find_armed_step (l);
#ifdef NO_OWN_HOLD
     start_clearing (l)
#else
     choose_holder (l);
     if
#ifdef NO_HELD_SECURED
     :: seen_step[l] < step[l] && MAY_HOLD (l) && (r_held[V (l, holder[l])] == 0 || r_held[V (l, holder[l])] == step[l]) -> set_phase (l, SECURING)
#else
     :: seen_step[l] < step[l] && r_held[V (l, holder[l])] == 0 && MAY_HOLD (l) -> set_phase (l, SECURING)
     :: seen_step[l] < step[l] && r_held[V (l, holder[l])] != 0 && r_held[V (l, holder[l])] <= step[l] ->
        last_version[l]++;
        assert (last_version[l] < VERSIONS);
        clearing[l] = l * VERSIONS + last_version[l];
        set_phase (l, SECURING)
#endif
     :: else
     fi
#endif
  fi
}

/* Moves on as far as the reports allow. */
inline advance (l)
{
  do
  :: moved = false;
     if
     :: phase[l] == LOOKING && WHOLE (l) -> look (l)
     :: phase[l] == CALM && (ANY_ARMED (l) || ANY_HELD (l) || !SAME (l)) -> set_phase (l, LOOKING)
     :: phase[l] == PREPARING && ALL_PREPARED (l) && MAY_HOLD_NEW (l) -> choose_step (l)
     :: phase[l] == HOLDING && !own_hold[l] && r_held[V (l, holder[l])] == step[l] ->
        own_hold[l] = true;
        heard[V (l, 0)] = false;
        heard[V (l, 1)] = false;
#if N_RANKS > 2
        heard[V (l, 2)] = false;
#endif
        moved = true
     :: phase[l] == HOLDING && own_hold[l] && ALL_HEARD (l) -> set_phase (l, ARMING)
     :: phase[l] == HOLDING && !own_hold[l] && r_held[V (l, holder[l])] != step[l] && !MAY_HOLD (l) ->
        set_phase (l, LOOKING)
     :: phase[l] == HOLDING && !own_hold[l] && r_held[V (l, holder[l])] != step[l] && MAY_HOLD (l) &&
          (refused[l] || seen_step[l] >= step[l]) ->
        choose_step (l)
     :: phase[l] == ARMING && ALL_ARMED (l) -> set_phase (l, LETTING_GO)
     :: phase[l] == LETTING_GO && own_hold[l] -> own_hold[l] = false; moved = true
     :: phase[l] == LETTING_GO && !own_hold[l] && !ANY_HELD (l) -> set_phase (l, SETTLING)
     :: phase[l] == SETTLING && !ANY_ARMED (l) && !ANY_HELD (l) && SAME (l) -> set_phase (l, CALM)
     :: phase[l] == SETTLING && ANY_HELD (l) -> set_phase (l, LOOKING)
     :: phase[l] == SECURING && own_hold[l] -> start_clearing (l)
     :: phase[l] == SECURING && SECURES_HELD (l) && IS_HELD_SECURED (l) ->
        own_hold[l] = true;
        set_phase (l, CLEARING)
     :: phase[l] == SECURING && !own_hold[l] && !(SECURES_HELD (l) && IS_HELD_SECURED (l)) &&
          (refused[l] || IS_HOLD_CHANGED (l) || seen_step[l] >= step[l] ||
           (!SECURES_HELD (l) && !MAY_HOLD (l))) ->
        set_phase (l, LOOKING)
#ifndef NO_OWN_HOLD
     :: phase[l] == CLEARING && ANY_ARMED (l) && !own_hold[l] -> set_phase (l, LOOKING)
#endif
     :: phase[l] == CLEARING && IS_CLEARED (l) && !ANY_HELD (l) -> set_phase (l, LOOKING)
     :: else
     fi;
     if
     :: moved
     :: else -> break
     fi
  od;
  printf ("leader %d is %e, step %d\n", l, phase[l], step[l]);
  /* What a phase does not use is forgotten, which saves states. */
  if
  :: phase[l] == LOOKING || phase[l] == CALM || phase[l] == SETTLING ->
     step[l] = 0;
     clearing[l] = 0;
     holder[l] = 0;
     own_hold[l] = false
  :: else
  fi;
  if
  :: phase[l] == LOOKING || phase[l] == CALM || phase[l] == CLEARING -> target[l] = 0
  :: else
  fi;
  if
  :: phase[l] != HOLDING ->
     heard[V (l, 0)] = false;
     heard[V (l, 1)] = false;
     heard[V (l, LAST)] = false;
     if
     :: rounds[l] == 0 && phase[l] != PREPARING -> last_step[l] = 0
     :: else
     fi
  :: else
  fi
}

inline note_step (l, s)
{
  if
  :: last_step[l] < s && (rounds[l] > 0 || phase[l] == HOLDING || phase[l] == PREPARING) -> last_step[l] = s
  :: else
  fi
}

/* A rank's report is taken in. */
inline take_report (l, r)
{
  known[V (l, r)] = true;
  heard[V (l, r)] = own_hold[l] && phase[l] == HOLDING;
  r_epoch[V (l, r)] = now_epoch;
  r_version[V (l, r)] = version[r];
  r_prepared[V (l, r)] = prepared[r];
  r_armed[V (l, r)] = armed[r];
  r_armed_step[V (l, r)] = armed_step[r];
  r_held[V (l, r)] = held[r];
  r_sequence[V (l, r)] = sequence[r];
  seen_step[l] = now_step;
#ifdef COPY
  waiting[r] = waiting[r] && prepared[r] != highest[r];
#endif
  note_step (l, held[r]);
  note_step (l, armed_step[r]);
  if
  :: phase[l] != LOOKING && epoch[l] != now_epoch ->
     target[l] = 0;
     set_phase (l, LOOKING)
  :: else
  fi
}

#define IS_NEWS(l, r) \
  (!known[V (l, r)] || r_epoch[V (l, r)] != now_epoch || r_version[V (l, r)] != version[r] || \
   r_prepared[V (l, r)] != prepared[r] || r_armed[V (l, r)] != armed[r] || \
   r_armed_step[V (l, r)] != armed_step[r] || r_held[V (l, r)] != held[r] || \
   r_sequence[V (l, r)] != sequence[r] || \
   (phase[l] == HOLDING && own_hold[l] && !heard[V (l, r)]) || \
   (seen_step[l] < now_step && (phase[l] == HOLDING || phase[l] == SECURING || phase[l] == CALM)))

#define IS_HOLD_DUE(l) (phase[l] == HOLDING || (phase[l] == SECURING && !SECURES_HELD (l)))
#define IS_TAKING_BACK(l, r) (phase[l] == CLEARING || (phase[l] == SECURING && SECURES_HELD (l) && r == holder[l]))

/* The order that is due at a rank; o_kind is 0 for none. */
inline get_order (l, r)
{
  o_kind = 0;
  o_version = target[l];
  o_step = step[l];
  if
  :: phase[l] == PREPARING && known[V (l, r)] && r_prepared[V (l, r)] != target[l] -> o_kind = PREPARE
  :: IS_HOLD_DUE (l) && r == holder[l] && !own_hold[l] -> o_kind = HOLD
  :: phase[l] == ARMING && !IS_ARMED (l, r) -> o_kind = ARM
  :: phase[l] == LETTING_GO && r_held[V (l, r)] != 0 -> o_kind = GO; o_step = r_held[V (l, r)]
  :: IS_TAKING_BACK (l, r) && r_armed[V (l, r)] != 0 -> o_kind = DISARM; o_version = r_armed[V (l, r)]
  :: IS_TAKING_BACK (l, r) && r_armed[V (l, r)] == 0 && !IS_BUMPED (l, r) ->
     o_kind = PREPARE;
     o_version = clearing[l]
  :: phase[l] == CLEARING && IS_CLEARED (l) && r_held[V (l, r)] != 0 -> o_kind = GO; o_step = r_held[V (l, r)]
  :: else
  fi
}

#ifdef GIVER_IS_HOLDER
#define GIVER(r) (r)
#else
#define GIVER(r) OTHER (r)
#endif

#define HAS_ORDER(l, r) \
  (leading[l] && known[V (l, r)] && \
   ((phase[l] == PREPARING && r_prepared[V (l, r)] != target[l]) || \
    (IS_HOLD_DUE (l) && r == holder[l] && !own_hold[l]) || \
    (phase[l] == ARMING && !IS_ARMED (l, r)) || \
    (phase[l] == LETTING_GO && r_held[V (l, r)] != 0) || \
    (IS_TAKING_BACK (l, r) && (r_armed[V (l, r)] != 0 || !IS_BUMPED (l, r))) || \
    (phase[l] == CLEARING && IS_CLEARED (l) && r_held[V (l, r)] != 0)))
#define REACHES(l, r) (frozen != r && (!IS_HOLD_DUE (l) || frozen != GIVER (r)))
/* An order that changes nothing and ends nothing need not be played. */
#ifdef NO_FENCE
#define IS_FENCED_OFF(l, r) false
#else
#define IS_FENCED_OFF(l, r) (FENCE (l) < fence[r])
#endif
#define IS_CURRENT(l, r) (EPOCH_FITS (epoch[l]) && COUNT_FITS (r, r_sequence[V (l, r)]))

proctype engines ()
{
end:
  do
  :: d_step {
       now_step < LAST_STEP && held[0] != now_step + 1 && held[1] != now_step + 1 &&
         held[N_RANKS - 1] != now_step + 1 ->
       now_step++;
       printf ("step %d\n", now_step);
       i = 0;
       do
       :: i < N_RANKS ->
          if
          :: armed[i] != 0 && armed_step[i] == now_step ->
             version[i] = armed[i];
             armed[i] = 0;
             armed_step[i] = 0
          :: else
          fi;
          i++
       :: else -> break
       od;
       i = 0;
       assert (version[0] == version[1] && version[0] == version[N_RANKS - 1])
     }
#ifdef REFORM
  :: d_step {
       now_epoch == 0 ->
       now_epoch = 1;
       do
       :: i < N_RANKS ->
          version[i] = 0;
          prepared[i] = 0;
          highest[i] = 0;
          armed[i] = 0;
          armed_step[i] = 0;
          held[i] = 0;
          sequence[i] = 0;
          fence[i] = 0;
          i++
       :: else -> break
       od;
       i = 0
     }
#endif
#ifdef COPY
  :: d_step { copied[0] != prepared[0] -> prepared[0] = copied[0] }
  :: d_step { copied[1] != prepared[1] -> prepared[1] = copied[1] }
#endif
  od
}

#if LOST > 0
proctype late_order (byte n)
{
end:
  do
  :: atomic {
       late_kind[n] != 0 ->
       if
#ifndef NEVER_LATE
       :: d_step {
            printf ("late %e at %d\n", late_kind[n], late_rank[n]);
            carry_out (late_rank[n], late_kind[n], late_fence[n], late_epoch[n], late_sequence[n], late_version[n],
                       late_step[n]);
            did = false
          }
#endif
       :: skip
       fi;
       late_kind[n] = 0;
       late_rank[n] = 0;
       late_fence[n] = 0;
       late_epoch[n] = 0;
       late_sequence[n] = 0;
       late_version[n] = 0;
       late_step[n] = 0
     }
  od
}
#endif

inline forget_all (l)
{
  set_phase (l, LOOKING);
  target[l] = 0;
  last_step[l] = 0;
  last_version[l] = 0;
  seen_step[l] = 0;
  epoch[l] = 0;
  rounds[l] = 0;
  i = 0;
  do
  :: i < N_RANKS ->
     known[V (l, i)] = false;
     r_epoch[V (l, i)] = 0;
     r_version[V (l, i)] = 0;
     r_prepared[V (l, i)] = 0;
     r_armed[V (l, i)] = 0;
     r_armed_step[V (l, i)] = 0;
     r_held[V (l, i)] = 0;
     r_sequence[V (l, i)] = 0;
     i++
  :: else -> break
  od;
  i = 0
}

inline answer (l, r)
{
  if
  :: did && phase[l] == SECURING && o_kind == HOLD -> own_hold[l] = true
#ifdef NO_HELD_SECURED
     /* An engine that holds the step already says that it is done. */
  :: !did && phase[l] == SECURING && held[r] == step[l] && IS_CURRENT (l, r) -> own_hold[l] = true
#define MAY_REFUSE(l, r) !(phase[l] == SECURING && held[r] == step[l] && IS_CURRENT (l, r))
#else
#define MAY_REFUSE(l, r) true
#endif
  :: !did && IS_HOLD_DUE (l) && MAY_REFUSE (l, r) -> refused[l] = true
  :: else
  fi
}

inline send (l, r)
{
  get_order (l, r);
  if
  :: IS_FENCED_OFF (l, r) ->
     printf ("leader %d is fenced off by %d\n", l, r);
     leading[l] = false;
     forget_all (l)
  :: else ->
     printf ("leader %d orders %e of %d, version %d, step %d\n", l, o_kind, r, o_version, o_step);
     carry_out (r, o_kind, FENCE (l), epoch[l], r_sequence[V (l, r)], o_version, o_step);
     answer (l, r);
#ifdef COPY
     waiting[r] = did && o_kind == PREPARE;
     assert (did || o_kind != PREPARE);
#endif
     take_report (l, r)
  fi;
  did = false;
  o_kind = 0;
  o_version = 0;
  o_step = 0
}

#ifdef COPY
#ifdef NO_WAIT_EFFECT
#define AWAITS_EFFECT(r) false
#else
#define AWAITS_EFFECT(r) waiting[r]
#endif
#else
#define AWAITS_EFFECT(r) false
#endif

#ifdef COPY
#define REFUSAL_COUNTS(l) true
#else
#define REFUSAL_COUNTS(l) IS_HOLD_DUE (l)
#endif

#if LOST > 0
inline lose (l, r)
{
  get_order (l, r);
  printf ("leader %d loses sight of %e to %d, version %d, step %d\n", l, o_kind, r, o_version, o_step);
  late_kind[lost] = o_kind;
  late_rank[lost] = r;
  late_fence[lost] = FENCE (l);
  late_epoch[lost] = epoch[l];
  late_sequence[lost] = r_sequence[V (l, r)];
  late_version[lost] = o_version;
  late_step[lost] = o_step;
  lost++;
  o_kind = 0;
  o_version = 0;
  o_step = 0
}
#endif

/* What ends a phase by time. */
#define IS_WAITING(l) \
  (leading[l] && (phase[l] == PREPARING || phase[l] == HOLDING || phase[l] == ARMING))

inline time_out (l)
{
  printf ("leader %d times out %e\n", l, phase[l]);
  if
  :: phase[l] == PREPARING -> set_phase (l, LOOKING)
  :: phase[l] == HOLDING && own_hold[l] -> target[l] = 0; set_phase (l, LETTING_GO)
  :: phase[l] == HOLDING && !own_hold[l] -> set_phase (l, LOOKING)
  :: phase[l] == ARMING -> start_clearing (l)
  :: else
  fi
}

/* A leader's dealings with one rank, and with the first what concerns all. */
proctype leader (byte l; byte r)
{
end:
  do
  :: atomic {
       if
       :: leading[l] && frozen != r && IS_NEWS (l, r) ->
          printf ("leader %d hears of rank %d\n", l, r);
          take_report (l, r)
       :: HAS_ORDER (l, r) && REACHES (l, r) && !AWAITS_EFFECT (r) &&
            (IS_FENCED_OFF (l, r) || IS_CURRENT (l, r) || REFUSAL_COUNTS (l)) ->
#ifdef FREEZE
          if
          :: phase[l] == HOLDING && frozen == NO_ONE -> frozen = GIVER (r)
          :: true
          fi;
#endif
          send (l, r)
#if LOST > 0
       :: HAS_ORDER (l, r) && lost < LOST && !AWAITS_EFFECT (r) -> lose (l, r)
#endif
       :: r == 0 && !started[l] -> started[l] = true; leading[l] = true
       :: r == 0 && leading[l] && phase[l] == CALM && WHOLE (l) && rounds[l] > 0 ->
          rounds[l]--;
          last_version[l]++;
          target[l] = l * VERSIONS + last_version[l];
          set_phase (l, PREPARING)
       :: r == 0 && IS_WAITING (l) && haste > 0 -> haste--; time_out (l)
       :: r == 0 && timeout && IS_WAITING (l) -> time_out (l)
#ifdef CRASH
       :: l == 0 && r == 0 && leading[0] -> printf ("leader 0 dies\n"); leading[0] = false; forget_all (0)
#endif
#ifdef LEASE
       :: r == 0 && lease == 0 && leading[0] -> lease = 1
#endif
       fi;
       advance (l)
     }
  od
}

#ifdef LEASE
/* What was ordered to hold before the limit has time to end, and nothing else has. */
proctype lapse ()
{
end:
  do
  :: atomic {
       lease == 1 && !(held[0] != 0 && early[0]) && !(held[1] != 0 && early[1]) ->
       lease = 2;
       leading[0] = false;
       forget_all (0);
       advance (0)
     }
  od
}
#endif

/* When nothing else can happen. */
proctype the_end ()
{
end:
  atomic {
    timeout && !IS_WAITING (0) && !IS_WAITING (1) ->
    assert (held[0] == 0 && held[1] == 0 && held[N_RANKS - 1] == 0);
    assert (armed[0] == 0 && armed[1] == 0 && armed[N_RANKS - 1] == 0);
  }
}

#ifdef REACH_CHANGE
#define WITNESS (version[0] == 1 && version[1] == 1)
#endif

bool witness_reached;

init
{
  atomic {
    rounds[0] = ROUNDS_0;
    rounds[1] = ROUNDS_1;
    run engines ();
    run leader (0, 0);
    run leader (0, 1);
#if N_RANKS > 2
    run leader (0, 2);
#endif
#ifndef ONE_LEADER
    run leader (1, 0);
    run leader (1, 1);
#if N_RANKS > 2
    run leader (1, 2);
#endif
#endif
#if LOST > 0
    run late_order (0);
#endif
#if LOST > 1
    run late_order (1);
#endif
#if LOST > 2
    run late_order (2);
#endif
#ifdef LEASE
    run lapse ();
#endif
    run the_end ()
  }
#ifdef WITNESS
end:
  do
  :: atomic { WITNESS -> witness_reached = true; assert (!witness_reached) }
  od
#endif
}
