/*
 * Map rounds of a group in which one engine can hold the whole group before a step
 * (source/maps/group_rounds.c): two or three ranks, one or two leaders. Leader 0 has the lower fencing
 * number and continues as if it still led after leader 1 starts. Leader 1 may start at any time.
 *
 * A leader acts on the last report of each rank. An order is executed and answered at once, or its answer
 * is lost and it is executed at any later time or never. A timeout may occur at any time for a bounded
 * number of times, and whenever nothing else can happen. Every run ends, and then no rank may hold the
 * group (process check_final_state).
 *
 * Options: N_RANKS, ONE_LEADER, LOST (number of orders whose answer may be lost), EARLY_TIMEOUTS (number of
 * timeouts that occur while something else can happen), ROUNDS_0 and ROUNDS_1 (rounds of each leader),
 * LAST_STEP, REFORM (the group is formed anew once), CRASH (leader 0 may crash), FREEZE (the agent that
 * sent a hold freezes permanently before it reports again), LEASE (the lease of the only leader ends), COPY
 * (a map is prepared some time after the order was accepted; without other faults no order to prepare may
 * be refused).
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
#ifndef EARLY_TIMEOUTS
#define EARLY_TIMEOUTS 1
#endif
#ifndef ROUNDS_0
#define ROUNDS_0 1
#endif
#ifndef ROUNDS_1
#define ROUNDS_1 1
#endif
#define VERSIONS 8              /* map versions reserved for each leader */
#define NO_RANK 255

#ifdef ONE_LEADER
#define N_LEADERS 1
#else
#define N_LEADERS 2
#endif

/* Index of the report of rank r that leader l received last. */
#define VIEW(l, r) ((l) * N_RANKS + (r))
#define FENCE(l) ((l) + 1)
#define NEXT_RANK(r) (((r) + 1) % N_RANKS)

mtype = { PREPARE, HOLD, ARM, DISARM, GO };
mtype = { LOOKING, CALM, PREPARING, HOLDING, ARMING, LETTING_GO, SETTLING, SECURING, CLEARING };

/* Engines. Step 0 has already begun, so step 0 in an order or a report means no step. */
byte now_step;
byte now_epoch;
byte version[N_RANKS];
byte prepared[N_RANKS];
byte highest[N_RANKS];          /* highest version of which an order to prepare was executed */
byte armed[N_RANKS];
byte armed_step[N_RANKS];
byte held[N_RANKS];             /* the step before which the rank holds the group */
byte sequence[N_RANKS];         /* order count */
byte fence[N_RANKS];            /* highest fencing number of an executed order */

/* Agents. */
byte frozen = NO_RANK;          /* the rank whose agent has frozen */

/* Leaders. */
bool started[2];
bool leading[2];
mtype phase[2] = LOOKING;
byte target[2];                 /* map version of the round; 0: none */
byte clearing[2];               /* version prepared to raise the order count of each rank */
byte last_version[2];
byte step[2];
byte last_step[2];
byte seen_step[2];
byte holder[2];
bool own_hold[2];
bool refused[2];                /* the holder has refused an order in this phase */
byte rounds[2];
byte epoch[2];
byte early_timeouts = EARLY_TIMEOUTS;

/* The last report that a leader received from each rank. */
bool known[2 * N_RANKS];
bool heard[2 * N_RANKS];        /* the rank has reported since the leader saw its own hold in force */
byte r_epoch[2 * N_RANKS];
byte r_version[2 * N_RANKS];
byte r_prepared[2 * N_RANKS];
byte r_armed[2 * N_RANKS];
byte r_armed_step[2 * N_RANKS];
byte r_held[2 * N_RANKS];
byte r_sequence[2 * N_RANKS];

/* Orders whose answer was lost. */
#if LOST > 0
mtype late_kind[LOST];          /* 0: the slot is free */
byte late_rank[LOST];
byte late_fence[LOST];
byte late_epoch[LOST];
byte late_sequence[LOST];
byte late_version[LOST];
byte late_step[LOST];
#endif
byte lost;

#ifdef COPY
byte copied[N_RANKS];           /* the version being copied */
bool effect_pending[N_RANKS];   /* an order was accepted but has not yet taken effect */
#endif

#ifdef LEASE
byte lease_state;               /* 0: valid, 1: too close to its end for a new hold, 2: ended */
bool held_before_limit[N_RANKS]; /* the hold was ordered while lease_state was 0 */
#endif

byte executed;                  /* the last order changed the state of its rank */
byte progressed;                /* advance changed the state and must check again */
mtype order_kind;
byte order_version;
byte order_step;
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
#define SEQUENCE_FITS(r, s) true
#else
#define SEQUENCE_FITS(r, s) ((s) == sequence[r])
#endif

/* An engine executes an order if its fencing number, epoch and order count are valid. Only an order that
 * changes the state raises the fence. */
inline execute_order (r, kind, f, e, s, v, st)
{
  executed = false;
  if
  :: FENCE_FITS (r, f) && EPOCH_FITS (e) && SEQUENCE_FITS (r, s) ->
     if
     :: kind == PREPARE && v > highest[r] && armed[r] == 0 ->
        highest[r] = v;
#ifdef COPY
        copied[r] = v;
#else
        prepared[r] = v;
#endif
        executed = true
     :: kind == HOLD && held[r] == 0 && st > now_step ->
        held[r] = st;
#ifdef LEASE
        held_before_limit[r] = (lease_state == 0);
#endif
        executed = true
     :: kind == ARM && prepared[r] == v && st > now_step && !(armed[r] == v && armed_step[r] == st) ->
        armed[r] = v;
        armed_step[r] = st;
        executed = true
     :: kind == DISARM && armed[r] == v && v != 0 ->
        armed[r] = 0;
        armed_step[r] = 0;
        executed = true
     :: kind == GO && held[r] == st && st != 0 ->
        held[r] = 0;
        executed = true
     :: else
     fi
  :: else
  fi;
  if
  :: executed ->
     sequence[r]++;
     if
     :: fence[r] < f -> fence[r] = f
     :: else
     fi
  :: else
  fi
}

/* Conditions on the reports. In a group of two, rank 1 and LAST are the same rank. */
#define LAST (N_RANKS - 1)
#define ANY_ARMED(l) (r_armed[VIEW (l, 0)] != 0 || r_armed[VIEW (l, 1)] != 0 || r_armed[VIEW (l, LAST)] != 0)
#define ANY_HELD(l) (r_held[VIEW (l, 0)] != 0 || r_held[VIEW (l, 1)] != 0 || r_held[VIEW (l, LAST)] != 0)
#define SAME_VERSION(l) (r_version[VIEW (l, 0)] == r_version[VIEW (l, 1)] && r_version[VIEW (l, 0)] == r_version[VIEW (l, LAST)])
#define ALL_KNOWN(l) \
  (known[VIEW (l, 0)] && known[VIEW (l, 1)] && known[VIEW (l, LAST)] && r_epoch[VIEW (l, 0)] == r_epoch[VIEW (l, 1)] && \
   r_epoch[VIEW (l, 0)] == r_epoch[VIEW (l, LAST)])
#define HAS_PREPARED(l, r) (r_prepared[VIEW (l, r)] == target[l])
#define ALL_PREPARED(l) (HAS_PREPARED (l, 0) && HAS_PREPARED (l, 1) && HAS_PREPARED (l, LAST))
#define IS_ARMED(l, r) (r_armed[VIEW (l, r)] == target[l] && r_armed_step[VIEW (l, r)] == step[l])
#ifdef NO_BUMP
#define HAS_CLEARING_VERSION(l, r) true
#else
#define HAS_CLEARING_VERSION(l, r) (r_prepared[VIEW (l, r)] == clearing[l])
#endif
#define IS_CLEAR(l, r) (r_armed[VIEW (l, r)] == 0 && HAS_CLEARING_VERSION (l, r))
#define IS_CLEARED(l) (IS_CLEAR (l, 0) && IS_CLEAR (l, 1) && IS_CLEAR (l, LAST))

#ifdef NO_HEAR_ALL
#define ALL_HEARD(l) true
#else
#define ALL_HEARD(l) (heard[VIEW (l, 0)] && heard[VIEW (l, 1)] && heard[VIEW (l, LAST)])
#endif
#ifdef NO_ARM_ALL
#define ALL_ARMED(l) ANY_ARMED (l)
#else
#define ALL_ARMED(l) (IS_ARMED (l, 0) && IS_ARMED (l, 1) && IS_ARMED (l, LAST))
#endif
#ifdef LEASE
#define MAY_HOLD_NEW(l) (lease_state == 0)
#ifdef LIMIT_ONCE
#define MAY_HOLD(l) true
#else
#define MAY_HOLD(l) (lease_state == 0)
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
  progressed = true
}

inline start_clearing (l)
{
  target[l] = 0;
  last_version[l]++;
  assert (last_version[l] < VERSIONS);
  clearing[l] = l * VERSIONS + last_version[l];
  set_phase (l, CLEARING)
}

/* Chooses a rank that holds no step or, if all ranks hold one, a rank that holds the earliest step. */
#define NO_EARLIER(l, r) \
  (r_held[VIEW (l, r)] <= r_held[VIEW (l, 0)] && r_held[VIEW (l, r)] <= r_held[VIEW (l, 1)] && \
   r_held[VIEW (l, r)] <= r_held[VIEW (l, N_RANKS - 1)])
#define MAY_BE_HOLDER(l, r) (r_held[VIEW (l, r)] == 0 || NO_EARLIER (l, r))

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

/* Abandons the round if no step is left. Only the model bounds the number of steps. */
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
     :: r_armed[VIEW (l, i)] != 0 && (step[l] == 0 || r_armed_step[VIEW (l, i)] < step[l]) ->
        step[l] = r_armed_step[VIEW (l, i)]
     :: else
     fi;
     i++
  :: else -> break
  od;
  i = 0
}

#ifdef COMPLETE_FOUND
#define SAME_ARMS(l) \
  (r_armed[VIEW (l, 0)] != 0 && r_armed[VIEW (l, 0)] == r_armed[VIEW (l, 1)] && \
   r_armed[VIEW (l, 0)] == r_armed[VIEW (l, N_RANKS - 1)])
#endif

/* A leader takes over the hold of another leader when the rank has prepared its clearing version.
 * From then on the rank refuses orders of the other leader. */
#define SECURES_HELD(l) (clearing[l] != 0)
#define IS_HELD_SECURED(l) \
  (r_held[VIEW (l, holder[l])] != 0 && r_armed[VIEW (l, holder[l])] == 0 && r_prepared[VIEW (l, holder[l])] == clearing[l])

#ifdef NO_HELD_SECURED
#define ALL_HOLD(l) (r_held[VIEW (l, 0)] != 0 && r_held[VIEW (l, 1)] != 0 && r_held[VIEW (l, LAST)] != 0)
#define IS_HOLD_CHANGED(l) \
  (r_held[VIEW (l, holder[l])] != 0 && (!ALL_HOLD (l) || r_held[VIEW (l, holder[l])] != step[l]))
#else
#define IS_HOLD_CHANGED(l) ((r_held[VIEW (l, holder[l])] != 0) != SECURES_HELD (l))
#endif

inline choose_next_phase (l)
{
  target[l] = 0;
  own_hold[l] = false;
  clearing[l] = 0;
  epoch[l] = r_epoch[VIEW (l, 0)];
  if
  :: !ANY_ARMED (l) && !ANY_HELD (l) ->
     if
     :: SAME_VERSION (l) -> step[l] = 0; set_phase (l, CALM)
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
     :: seen_step[l] < step[l] && MAY_HOLD (l) && (r_held[VIEW (l, holder[l])] == 0 || r_held[VIEW (l, holder[l])] == step[l]) -> set_phase (l, SECURING)
#else
     :: seen_step[l] < step[l] && r_held[VIEW (l, holder[l])] == 0 && MAY_HOLD (l) -> set_phase (l, SECURING)
     :: seen_step[l] < step[l] && r_held[VIEW (l, holder[l])] != 0 && r_held[VIEW (l, holder[l])] <= step[l] ->
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

/* Moves from phase to phase as far as the reports allow. */
inline advance (l)
{
  do
  :: progressed = false;
     if
     :: phase[l] == LOOKING && ALL_KNOWN (l) -> choose_next_phase (l)
     :: phase[l] == CALM && (ANY_ARMED (l) || ANY_HELD (l) || !SAME_VERSION (l)) -> set_phase (l, LOOKING)
     :: phase[l] == PREPARING && ALL_PREPARED (l) && MAY_HOLD_NEW (l) -> choose_step (l)
     :: phase[l] == HOLDING && !own_hold[l] && r_held[VIEW (l, holder[l])] == step[l] ->
        own_hold[l] = true;
        heard[VIEW (l, 0)] = false;
        heard[VIEW (l, 1)] = false;
#if N_RANKS > 2
        heard[VIEW (l, 2)] = false;
#endif
        progressed = true
     :: phase[l] == HOLDING && own_hold[l] && ALL_HEARD (l) -> set_phase (l, ARMING)
     :: phase[l] == HOLDING && !own_hold[l] && r_held[VIEW (l, holder[l])] != step[l] && !MAY_HOLD (l) ->
        set_phase (l, LOOKING)
     :: phase[l] == HOLDING && !own_hold[l] && r_held[VIEW (l, holder[l])] != step[l] && MAY_HOLD (l) &&
          (refused[l] || seen_step[l] >= step[l]) ->
        choose_step (l)
     :: phase[l] == ARMING && ALL_ARMED (l) -> set_phase (l, LETTING_GO)
     :: phase[l] == LETTING_GO && own_hold[l] -> own_hold[l] = false; progressed = true
     :: phase[l] == LETTING_GO && !own_hold[l] && !ANY_HELD (l) -> set_phase (l, SETTLING)
     :: phase[l] == SETTLING && !ANY_ARMED (l) && !ANY_HELD (l) && SAME_VERSION (l) -> set_phase (l, CALM)
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
     :: progressed
     :: else -> break
     fi
  od;
  printf ("leader %d is in phase %e, step %d\n", l, phase[l], step[l]);
  /* Clears variables that the phase does not use, to reduce the number of states. */
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
     heard[VIEW (l, 0)] = false;
     heard[VIEW (l, 1)] = false;
     heard[VIEW (l, LAST)] = false;
     if
     :: rounds[l] == 0 && phase[l] != PREPARING -> last_step[l] = 0
     :: else
     fi
  :: else
  fi
}

inline record_step (l, s)
{
  if
  :: last_step[l] < s && (rounds[l] > 0 || phase[l] == HOLDING || phase[l] == PREPARING) -> last_step[l] = s
  :: else
  fi
}

/* Handles the report of a rank. */
inline handle_report (l, r)
{
  known[VIEW (l, r)] = true;
  heard[VIEW (l, r)] = own_hold[l] && phase[l] == HOLDING;
  r_epoch[VIEW (l, r)] = now_epoch;
  r_version[VIEW (l, r)] = version[r];
  r_prepared[VIEW (l, r)] = prepared[r];
  r_armed[VIEW (l, r)] = armed[r];
  r_armed_step[VIEW (l, r)] = armed_step[r];
  r_held[VIEW (l, r)] = held[r];
  r_sequence[VIEW (l, r)] = sequence[r];
  seen_step[l] = now_step;
#ifdef COPY
  effect_pending[r] = effect_pending[r] && prepared[r] != highest[r];
#endif
  record_step (l, held[r]);
  record_step (l, armed_step[r]);
  if
  :: phase[l] != LOOKING && epoch[l] != now_epoch ->
     target[l] = 0;
     set_phase (l, LOOKING)
  :: else
  fi
}

#define HAS_UPDATE(l, r) \
  (!known[VIEW (l, r)] || r_epoch[VIEW (l, r)] != now_epoch || r_version[VIEW (l, r)] != version[r] || \
   r_prepared[VIEW (l, r)] != prepared[r] || r_armed[VIEW (l, r)] != armed[r] || \
   r_armed_step[VIEW (l, r)] != armed_step[r] || r_held[VIEW (l, r)] != held[r] || \
   r_sequence[VIEW (l, r)] != sequence[r] || \
   (phase[l] == HOLDING && own_hold[l] && !heard[VIEW (l, r)]) || \
   (seen_step[l] < now_step && (phase[l] == HOLDING || phase[l] == SECURING || phase[l] == CALM)))

#define IS_HOLD_DUE(l) (phase[l] == HOLDING || (phase[l] == SECURING && !SECURES_HELD (l)))
#define IS_CLEARING_RANK(l, r) (phase[l] == CLEARING || (phase[l] == SECURING && SECURES_HELD (l) && r == holder[l]))

/* Chooses the order that is due for a rank; order_kind is 0 if there is none. */
inline choose_order (l, r)
{
  order_kind = 0;
  order_version = target[l];
  order_step = step[l];
  if
  :: phase[l] == PREPARING && known[VIEW (l, r)] && r_prepared[VIEW (l, r)] != target[l] -> order_kind = PREPARE
  :: IS_HOLD_DUE (l) && r == holder[l] && !own_hold[l] -> order_kind = HOLD
  :: phase[l] == ARMING && !IS_ARMED (l, r) -> order_kind = ARM
  :: phase[l] == LETTING_GO && r_held[VIEW (l, r)] != 0 -> order_kind = GO; order_step = r_held[VIEW (l, r)]
  :: IS_CLEARING_RANK (l, r) && r_armed[VIEW (l, r)] != 0 -> order_kind = DISARM; order_version = r_armed[VIEW (l, r)]
  :: IS_CLEARING_RANK (l, r) && r_armed[VIEW (l, r)] == 0 && !HAS_CLEARING_VERSION (l, r) ->
     order_kind = PREPARE;
     order_version = clearing[l]
  :: phase[l] == CLEARING && IS_CLEARED (l) && r_held[VIEW (l, r)] != 0 -> order_kind = GO; order_step = r_held[VIEW (l, r)]
  :: else
  fi
}

#ifdef GIVER_IS_HOLDER
#define HOLD_SENDER(r) (r)
#else
#define HOLD_SENDER(r) NEXT_RANK (r)
#endif

#define HAS_ORDER(l, r) \
  (leading[l] && known[VIEW (l, r)] && \
   ((phase[l] == PREPARING && r_prepared[VIEW (l, r)] != target[l]) || \
    (IS_HOLD_DUE (l) && r == holder[l] && !own_hold[l]) || \
    (phase[l] == ARMING && !IS_ARMED (l, r)) || \
    (phase[l] == LETTING_GO && r_held[VIEW (l, r)] != 0) || \
    (IS_CLEARING_RANK (l, r) && (r_armed[VIEW (l, r)] != 0 || !HAS_CLEARING_VERSION (l, r))) || \
    (phase[l] == CLEARING && IS_CLEARED (l) && r_held[VIEW (l, r)] != 0)))
#define IS_REACHABLE(l, r) (frozen != r && (!IS_HOLD_DUE (l) || frozen != HOLD_SENDER (r)))
/* An order that neither changes a rank nor ends the leader's term need not be explored. */
#ifdef NO_FENCE
#define IS_FENCED_OFF(l, r) false
#else
#define IS_FENCED_OFF(l, r) (FENCE (l) < fence[r])
#endif
#define IS_CURRENT(l, r) (EPOCH_FITS (epoch[l]) && SEQUENCE_FITS (r, r_sequence[VIEW (l, r)]))

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
            printf ("late order %e reaches rank %d\n", late_kind[n], late_rank[n]);
            execute_order (late_rank[n], late_kind[n], late_fence[n], late_epoch[n], late_sequence[n], late_version[n],
                       late_step[n]);
            executed = false
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

inline reset_leader (l)
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
     known[VIEW (l, i)] = false;
     r_epoch[VIEW (l, i)] = 0;
     r_version[VIEW (l, i)] = 0;
     r_prepared[VIEW (l, i)] = 0;
     r_armed[VIEW (l, i)] = 0;
     r_armed_step[VIEW (l, i)] = 0;
     r_held[VIEW (l, i)] = 0;
     r_sequence[VIEW (l, i)] = 0;
     i++
  :: else -> break
  od;
  i = 0
}

inline handle_answer (l, r)
{
  if
  :: executed && phase[l] == SECURING && order_kind == HOLD -> own_hold[l] = true
#ifdef NO_HELD_SECURED
     /* An engine that already holds the step reports success. */
  :: !executed && phase[l] == SECURING && held[r] == step[l] && IS_CURRENT (l, r) -> own_hold[l] = true
#define MAY_REFUSE(l, r) !(phase[l] == SECURING && held[r] == step[l] && IS_CURRENT (l, r))
#else
#define MAY_REFUSE(l, r) true
#endif
  :: !executed && IS_HOLD_DUE (l) && MAY_REFUSE (l, r) -> refused[l] = true
  :: else
  fi
}

inline send_order (l, r)
{
  choose_order (l, r);
  if
  :: IS_FENCED_OFF (l, r) ->
     printf ("leader %d is fenced off by rank %d\n", l, r);
     leading[l] = false;
     reset_leader (l)
  :: else ->
     printf ("leader %d sends %e to rank %d, version %d, step %d\n", l, order_kind, r, order_version, order_step);
     execute_order (r, order_kind, FENCE (l), epoch[l], r_sequence[VIEW (l, r)], order_version, order_step);
     handle_answer (l, r);
#ifdef COPY
     effect_pending[r] = executed && order_kind == PREPARE;
     assert (executed || order_kind != PREPARE);
#endif
     handle_report (l, r)
  fi;
  executed = false;
  order_kind = 0;
  order_version = 0;
  order_step = 0
}

#ifdef COPY
#ifdef NO_WAIT_EFFECT
#define AWAITS_EFFECT(r) false
#else
#define AWAITS_EFFECT(r) effect_pending[r]
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
inline lose_answer (l, r)
{
  choose_order (l, r);
  printf ("leader %d loses the answer to %e for rank %d, version %d, step %d\n", l, order_kind, r, order_version, order_step);
  late_kind[lost] = order_kind;
  late_rank[lost] = r;
  late_fence[lost] = FENCE (l);
  late_epoch[lost] = epoch[l];
  late_sequence[lost] = r_sequence[VIEW (l, r)];
  late_version[lost] = order_version;
  late_step[lost] = order_step;
  lost++;
  order_kind = 0;
  order_version = 0;
  order_step = 0
}
#endif

/* Phases that end by a timeout. */
#define IS_WAITING(l) \
  (leading[l] && (phase[l] == PREPARING || phase[l] == HOLDING || phase[l] == ARMING))

inline time_out (l)
{
  printf ("leader %d: timeout in phase %e\n", l, phase[l]);
  if
  :: phase[l] == PREPARING -> set_phase (l, LOOKING)
  :: phase[l] == HOLDING && own_hold[l] -> target[l] = 0; set_phase (l, LETTING_GO)
  :: phase[l] == HOLDING && !own_hold[l] -> set_phase (l, LOOKING)
  :: phase[l] == ARMING -> start_clearing (l)
  :: else
  fi
}

/* The part of a leader that handles one rank. The part for rank 0 also handles the whole group. */
proctype leader (byte l; byte r)
{
end:
  do
  :: atomic {
       if
       :: leading[l] && frozen != r && HAS_UPDATE (l, r) ->
          printf ("leader %d receives a report of rank %d\n", l, r);
          handle_report (l, r)
       :: HAS_ORDER (l, r) && IS_REACHABLE (l, r) && !AWAITS_EFFECT (r) &&
            (IS_FENCED_OFF (l, r) || IS_CURRENT (l, r) || REFUSAL_COUNTS (l)) ->
#ifdef FREEZE
          if
          :: phase[l] == HOLDING && frozen == NO_RANK -> frozen = HOLD_SENDER (r)
          :: true
          fi;
#endif
          send_order (l, r)
#if LOST > 0
       :: HAS_ORDER (l, r) && lost < LOST && !AWAITS_EFFECT (r) -> lose_answer (l, r)
#endif
       :: r == 0 && !started[l] -> started[l] = true; leading[l] = true
       :: r == 0 && leading[l] && phase[l] == CALM && ALL_KNOWN (l) && rounds[l] > 0 ->
          rounds[l]--;
          last_version[l]++;
          target[l] = l * VERSIONS + last_version[l];
          set_phase (l, PREPARING)
       :: r == 0 && IS_WAITING (l) && early_timeouts > 0 -> early_timeouts--; time_out (l)
       :: r == 0 && timeout && IS_WAITING (l) -> time_out (l)
#ifdef CRASH
       :: l == 0 && r == 0 && leading[0] -> printf ("leader 0 crashes\n"); leading[0] = false; reset_leader (0)
#endif
#ifdef LEASE
       :: r == 0 && lease_state == 0 && leading[0] -> lease_state = 1
#endif
       fi;
       advance (l)
     }
  od
}

#ifdef LEASE
/* The lease ends only after all holds that were ordered before the limit have been released. */
proctype end_lease ()
{
end:
  do
  :: atomic {
       lease_state == 1 && !(held[0] != 0 && held_before_limit[0]) && !(held[1] != 0 && held_before_limit[1]) ->
       lease_state = 2;
       leading[0] = false;
       reset_leader (0);
       advance (0)
     }
  od
}
#endif

/* Checks the state in which nothing else can happen. */
proctype check_final_state ()
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
    run end_lease ();
#endif
    run check_final_state ()
  }
#ifdef WITNESS
end:
  do
  :: atomic { WITNESS -> witness_reached = true; assert (!witness_reached) }
  od
#endif
}
