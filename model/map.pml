/*
 * Expert-map rounds: three ranks in lock-step, their agents, two controllers with one round each.
 *
 * Round 1 belongs to the older lease. Its controller may be paused past the lease, so that its orders
 * arrive after those of round 2. Messages are facts that stay true once sent: they may be handled never
 * (loss), late or in any order (delay), or again (duplication). Every step either changes the state for
 * good or is one of a bounded number of restarts, so all runs end; liveness asks that they end well.
 *
 * Options: RESTART=r (the agent of rank r restarts once beside its engine), REPLACE=r (rank r is replaced
 * once, engine and agent), ROUND1_STEP and ROUND2_STEP (the step a round is armed for), CRASH (the
 * controllers may die), LATE_ARM (the order to arm may reach the engine late, and the engine does not
 * look at fences), UNCHECKED_COMMIT (the engine of rank 0 takes a commit order at any time before its step,
 * also of a round that is not armed), ONE_ROUND (round 1 only), LIVENESS (the claim go_on).
 */

#define N_RANKS 3
#define LAST_STEP 3
#define DECIDER 0               /* rank 0 decides */
#define NO_ROUND 0

#ifndef ROUND1_STEP
#define ROUND1_STEP 2
#endif
#ifndef ROUND2_STEP
#define ROUND2_STEP 2
#endif
#define STEP_OF(n) ((n) == 1 -> ROUND1_STEP : ROUND2_STEP)

#define ORDER(n, r) ((n) * N_RANKS + (r))
#define TOLD(d, n) ((d) * 3 + (n))

/* Engines. The map of a round carries the number of the round; 0 is the first map. */
bool alive[N_RANKS] = true;
byte step[N_RANKS];             /* steps begun */
byte map[N_RANKS];              /* map in use */
byte armed[N_RANKS];            /* round armed */
bool decided[N_RANKS];          /* the armed round is committed */
bool commit_sent[3];            /* commit order under way to the engine of rank 0, by round */

/* Agents. */
byte inc[N_RANKS];
byte floor[N_RANKS];            /* rounds below are refused */
bool floor_known[N_RANKS] = true;
bool decider_seen[N_RANKS];     /* decisions of an older decider are refused */
byte member = 255;              /* rank 0: incarnation of the replaced rank that it let join */
bool forgot_decision;
bool sent_by_self[3];           /* UNCHECKED_COMMIT, rank 0: this incarnation sent the commit order */
bool accepted[9];               /* LATE_ARM: this incarnation accepted the order to arm */
bool arm_sent[9];               /* LATE_ARM: an order to arm is under way to the engine */

/* Controllers and the service. */
bool started[3];
bool crashed[3];
byte round_inc[9];              /* incarnations that the orders of a round name */
byte service_round;             /* highest round number handed out */

/* Messages. */
bool ack[9];                    /* rank r has armed round n */
bool told_commit[6];            /* decision on round n, by decider d */
bool told_abort[6];
bool decider;                   /* 0 the first, 1 the one that replaced it */
bool join_ready;
byte join_map;
byte join_armed;

/* Ghost state. */
byte last_effect[N_RANKS];      /* highest round of which an order took effect at the rank */

#ifdef NO_FENCE
#define FENCE_OK(n, r) true
#else
#define FENCE_OK(n, r) (floor_known[r] && (n) >= floor[r])
#endif

#ifdef NO_ARM_INCARNATION
#define NAMES_AGENT(n, r) true
#else
#define NAMES_AGENT(n, r) (round_inc[ORDER (n, r)] == inc[r])
#endif

#if defined(REPLACE) && !defined(NO_MEMBER_CHECK) && !defined(NO_JOIN_DECIDE)
#define NAMES_MEMBER(n, r) ((r) != DECIDER || member == 255 || round_inc[ORDER (n, REPLACE)] == member)
#else
#define NAMES_MEMBER(n, r) true
#endif

#ifdef NO_ARM_ALL
#define ALL_ARMED(n) ack[ORDER (n, 0)]
#else
#define ALL_ARMED(n) (ack[ORDER (n, 0)] && ack[ORDER (n, 1)] && ack[ORDER (n, 2)])
#endif

#ifdef FENCE_DECISION
#define DECISION_FENCE_OK(n, r) ((n) + 1 >= floor[r])
#else
#define DECISION_FENCE_OK(n, r) true
#endif

#ifdef ACK_UNACCEPTED
#define ACCEPTED(n, r) true
#else
#define ACCEPTED(n, r) accepted[ORDER (n, r)]
#endif

#define ANY_ARMED(n) (armed[0] == n || armed[1] == n || armed[2] == n)
#define LOCK_STEP_OK(r) (step[0] >= step[r] && step[1] >= step[r] && step[2] >= step[r])
#define SAME_MAP(q, r) (!alive[q] || step[q] != step[r] || map[q] == map[r])
#define HELD(r) (armed[r] != NO_ROUND && !decided[r] && STEP_OF (armed[r]) == step[r] + 1)

/* The floor that a round leaves behind: the round itself, once armed or aborted, is refused too. */
#ifdef INCLUSIVE_FLOOR
#define ABOVE(n) (n)
#else
#define ABOVE(n) ((n) + 1)
#endif

inline raise_floor (r, n)
{
  if
  :: floor[r] < n -> floor[r] = n
  :: else
  fi
}

inline forget_armed (r)
{
  armed[r] = NO_ROUND;
  decided[r] = false
}

inline begin_step (r)
{
  if
  :: armed[r] != NO_ROUND && decided[r] && STEP_OF (armed[r]) == step[r] + 1 ->
     map[r] = armed[r];
     forget_armed (r)
#ifdef NO_HOLD
  :: HELD (r) -> forget_armed (r)
#endif
  :: else
  fi;
  step[r]++;
  assert (SAME_MAP (0, r) && SAME_MAP (1, r) && SAME_MAP (2, r))
}

/* The engine takes the order to arm. */
inline take_arm (r, n)
{
  armed[r] = n;
  decided[r] = false
}

inline arm (r, n)
{
  assert (n >= last_effect[r]);
  last_effect[r] = n;
  raise_floor (r, ABOVE (n));
#ifdef LATE_ARM
  accepted[ORDER (n, r)] = true;
  arm_sent[ORDER (n, r)] = true
#else
  take_arm (r, n);
  ack[ORDER (n, r)] = true
#endif
}

#ifdef NO_HOLD
#define MAY_BEGIN(r) true
#else
#define MAY_BEGIN(r) (!HELD (r))
#endif

#define ARM_ARRIVES(n, r) (started[n] && !crashed[n] && NAMES_AGENT (n, r) && NAMES_MEMBER (n, r) && FENCE_OK (n, r))
#define ARM_FITS(n, r) (armed[r] == NO_ROUND && map[r] < n && step[r] < STEP_OF (n))
/* Commits of a decider are heeded from the newest decider that the rank has seen. */
#define HEARS(d, r) (d >= decider_seen[r])

proctype engine (byte r)
{
end:
  do
  :: atomic { alive[r] && step[r] < LAST_STEP && LOCK_STEP_OK (r) && MAY_BEGIN (r) -> begin_step (r) }
  od
}

proctype agent (byte r; byte n)
{
end:
  do
  :: atomic { alive[r] && ARM_ARRIVES (n, r) && ARM_FITS (n, r) -> arm (r, n) }
#ifdef LATE_ARM
     /* The engine takes an order late, perhaps from an agent that has restarted since. */
  :: atomic { alive[r] && arm_sent[ORDER (n, r)] && ARM_FITS (n, r) -> take_arm (r, n); arm_sent[ORDER (n, r)] = false }
     /* The engine has armed what this agent accepted, and that alone is acknowledged. */
  :: atomic { alive[r] && armed[r] == n && ACCEPTED (n, r) && !ack[ORDER (n, r)] -> ack[ORDER (n, r)] = true }
     /* Rank 0 finds a round armed that it has aborted: the order came late. */
  :: atomic {
       alive[r] && r == DECIDER && armed[r] == n && !decided[r] && told_abort[TOLD (decider, n)] -> forget_armed (r)
     }
#endif
     /* An order is seen, but an earlier round is still armed: the fence moves, nothing is armed. */
  :: atomic {
       alive[r] && ARM_ARRIVES (n, r) && armed[r] != NO_ROUND && floor[r] < n -> raise_floor (r, n)
     }
     /* Cancel before armed: a promise not to arm. */
  :: atomic {
       alive[r] && started[n] && floor_known[r] && armed[r] != n && floor[r] <= n -> raise_floor (r, n + 1)
     }
  :: atomic {
       alive[r] && r != DECIDER && armed[r] == n && !decided[r] && DECISION_FENCE_OK (n, r) &&
         ((told_commit[TOLD (0, n)] && HEARS (0, r)) || told_commit[TOLD (1, n)]) ->
       decided[r] = true
     }
  :: atomic {
       alive[r] && r != DECIDER && armed[r] == n && !decided[r] && DECISION_FENCE_OK (n, r) &&
         ((told_abort[TOLD (0, n)] && HEARS (0, r)) || told_abort[TOLD (1, n)]) ->
       forget_armed (r)
     }
#ifdef DECIDE_BY_TIMEOUT
  :: atomic { alive[r] && r != DECIDER && armed[r] == n && HELD (r) -> forget_armed (r) }
#endif
  od
}

inline abort_round (n)
{
  if
  :: armed[DECIDER] == n -> forget_armed (DECIDER)
  :: else
  fi;
  raise_floor (DECIDER, ABOVE (n));
  accepted[ORDER (n, DECIDER)] = false;
  told_abort[TOLD (decider, n)] = true
}

#define COMMITTED(n) ((armed[DECIDER] == n && decided[DECIDER]) || map[DECIDER] == n)

/*
 * A commit order once sent may be taken late. Where the engine does not check that the round is still
 * armed, the agent must not abort after it; a restarted agent, which cannot know, must commit a round that
 * all ranks have armed.
 */
#ifdef ABORT_AFTER_RESTART
#define RESTARTED_MAY_ABORT(n) true
#else
#define RESTARTED_MAY_ABORT(n) (!(armed[DECIDER] == n && ALL_ARMED (n)))
#endif
#if defined(UNCHECKED_COMMIT) && !defined(ABORT_AFTER_COMMIT)
#define MAY_ABORT(n) (!sent_by_self[n] && (inc[DECIDER] == 0 || RESTARTED_MAY_ABORT (n)))
#else
#define MAY_ABORT(n) true
#endif

/* The part of the agent of rank 0 that decides round n. */
proctype decide (byte n)
{
end:
  do
  :: atomic {
       alive[DECIDER] && armed[DECIDER] == n && !decided[DECIDER] && !commit_sent[n] && ALL_ARMED (n) ->
       commit_sent[n] = true;
#ifdef UNCHECKED_COMMIT
       sent_by_self[n] = true;
#endif
#ifdef TELL_BEFORE_ACK
       told_commit[TOLD (decider, n)] = true
#endif
     }
     /* The engine takes the order, perhaps late. */
#ifdef UNCHECKED_COMMIT
  :: atomic {
       alive[DECIDER] && commit_sent[n] && step[DECIDER] < STEP_OF (n) && !COMMITTED (n) ->
       armed[DECIDER] = n;
       decided[DECIDER] = true
     }
#endif
#ifdef NO_COMMIT_MATCH
  :: atomic { alive[DECIDER] && commit_sent[n] && armed[DECIDER] != NO_ROUND && !decided[DECIDER] -> decided[DECIDER] = true }
#else
  :: atomic { alive[DECIDER] && commit_sent[n] && armed[DECIDER] == n && !decided[DECIDER] -> decided[DECIDER] = true }
#endif
     /* What the engine has acknowledged is told. */
  :: atomic {
       alive[DECIDER] && COMMITTED (n) && !forgot_decision && !told_commit[TOLD (decider, n)] ->
       told_commit[TOLD (decider, n)] = true
     }
#ifndef NO_ABORT
     /* A rank asks, or the decision is overdue. */
  :: atomic {
       alive[DECIDER] && ANY_ARMED (n) && !told_abort[TOLD (decider, n)] && map[DECIDER] < n && !COMMITTED (n) &&
         MAY_ABORT (n) ->
       abort_round (n)
     }
#endif
#ifdef NO_DECISION_IN_ENGINE
  :: atomic {
       alive[DECIDER] && forgot_decision && ANY_ARMED (n) && !told_abort[TOLD (decider, n)] ->
       told_abort[TOLD (decider, n)] = true
     }
#endif
  od
}

inline believe (n, r)
{
  if
  :: round_inc[ORDER (n, r)] = inc[r]
  :: inc[r] > 0 -> round_inc[ORDER (n, r)] = inc[r] - 1
  fi
}

proctype controller (byte n)
{
end:
  do
  :: atomic {
       !started[n] && !crashed[n] ->
       started[n] = true;
       believe (n, 0);
       believe (n, 1);
       believe (n, 2);
       if
       :: service_round < n -> service_round = n
       :: else
       fi
     }
#ifdef CRASH
  :: atomic { !crashed[n] -> crashed[n] = true }
#endif
  od
}

#ifdef RESTART
/* The agent of rank RESTART restarts; its engine goes on. */
proctype restart ()
{
end:
  if
  :: atomic {
       alive[RESTART] ->
       inc[RESTART]++;
       floor[RESTART] = 0;
       decider_seen[RESTART] = decider;
       accepted[ORDER (1, RESTART)] = false;
       accepted[ORDER (2, RESTART)] = false;
#ifndef NO_FLOOR
       floor_known[RESTART] = false;
#endif
       if
       :: RESTART == DECIDER ->
          member = 255;
          sent_by_self[1] = false;
          sent_by_self[2] = false;
#ifdef NO_DECISION_IN_ENGINE
          forgot_decision = decided[DECIDER]
#endif
       :: else
       fi
     }
  fi
}
#endif

/* One read of the service and of the engine, before a fresh agent takes orders. */
proctype learn_floor (byte r)
{
end:
  do
  :: atomic {
       alive[r] && !floor_known[r] ->
#ifndef NO_SERVICE_FLOOR
       raise_floor (r, service_round);
#endif
#ifndef NO_ENGINE_FLOOR
       raise_floor (r, map[r] + (map[r] > 0 -> 1 : 0));
       raise_floor (r, armed[r] + (armed[r] > 0 -> 1 : 0));
#endif
       floor_known[r] = true
     }
  od
}

#ifdef REPLACE
#define OTHER_A ((REPLACE) == 0 -> 1 : 0)
#define OTHER_B ((REPLACE) == 2 -> 1 : 2)

/* The rank dies. A step that no other rank has left is begun again by its successor. */
inline die ()
{
  alive[REPLACE] = false;
  if
  :: step[REPLACE] > 0 && step[OTHER_A] <= step[REPLACE] && step[OTHER_B] <= step[REPLACE] -> step[REPLACE]--
  :: else
  fi;
  map[REPLACE] = 0;
  forget_armed (REPLACE);
  inc[REPLACE]++;
  floor[REPLACE] = 0;
  floor_known[REPLACE] = false;
  last_effect[REPLACE] = 0;
  accepted[ORDER (1, REPLACE)] = false;
  accepted[ORDER (2, REPLACE)] = false;
  arm_sent[ORDER (1, REPLACE)] = false;
  arm_sent[ORDER (2, REPLACE)] = false
}

#if REPLACE == 0

/* What a rank reported to the new decider; the rank may have gone on since. */
byte seen_step[N_RANKS];
byte seen_map[N_RANKS];
byte seen_armed[N_RANKS];
bool seen_decided[N_RANKS];
bool reported[N_RANKS];

/* The round that the other ranks are known to have committed. */
#define KNOWS_COMMIT(q, n) (seen_armed[q] == n && seen_decided[q])
#define LEARNS_COMMIT(q, x, n) (seen_map[q] == n && seen_armed[x] == n)
#define KNOWN_COMMIT(n) (KNOWS_COMMIT (1, n) || KNOWS_COMMIT (2, n) || LEARNS_COMMIT (1, 2, n) || LEARNS_COMMIT (2, 1, n))
#define AHEAD(q) (seen_step[q] > step[DECIDER])

inline report (q)
{
  seen_step[q] = step[q];
  seen_map[q] = map[q];
  seen_armed[q] = armed[q];
  seen_decided[q] = decided[q];
  reported[q] = true;
#ifndef NO_FREEZE
  decider_seen[q] = true
#endif
}

inline forget_report (q)
{
  seen_step[q] = 0;
  seen_map[q] = 0;
  seen_armed[q] = NO_ROUND;
  seen_decided[q] = false
}

/*
 * The decider itself is replaced. Its successor first has every other rank report what it knows and
 * promise to heed no decision of the old one, then takes over what they know, then joins.
 */
proctype replace ()
{
end:
  do
  :: atomic {
       !decider && alive[DECIDER] ->
       die ();
       decider = true;
       commit_sent[1] = false;
       commit_sent[2] = false;
       member = 255
     }
  :: atomic { decider && !alive[DECIDER] && !reported[1] -> report (1) }
  :: atomic { decider && !alive[DECIDER] && !reported[2] -> report (2) }
  :: atomic {
       decider && !alive[DECIDER] && reported[1] && reported[2] ->
       if
       :: AHEAD (1) -> map[DECIDER] = seen_map[1]
       :: !AHEAD (1) && AHEAD (2) -> map[DECIDER] = seen_map[2]
       :: else -> map[DECIDER] = seen_map[1]
       fi;
       if
       :: KNOWN_COMMIT (1) && map[DECIDER] < 1 -> armed[DECIDER] = 1; decided[DECIDER] = true
       :: KNOWN_COMMIT (2) && map[DECIDER] < 2 -> armed[DECIDER] = 2; decided[DECIDER] = true
       :: else
       fi;
       forget_report (1);
       forget_report (2);
       alive[DECIDER] = true
     }
  od
}

#else

#ifdef UNCHECKED_COMMIT
#define MAY_JOIN (armed[DECIDER] == NO_ROUND || decided[DECIDER] || MAY_ABORT (armed[DECIDER]))
#else
#define MAY_JOIN true
#endif

/* A rank is replaced; rank 0 lets the successor join. */
proctype replace ()
{
end:
  do
  :: atomic { inc[REPLACE] == 0 && alive[REPLACE] -> die () }
  :: atomic {
       !alive[REPLACE] && !join_ready && MAY_JOIN ->
#ifndef NO_JOIN_DECIDE
       /* An ack of the dead rank counts for nothing: a round without a decision is aborted. */
       if
       :: armed[DECIDER] != NO_ROUND && !decided[DECIDER] -> abort_round (armed[DECIDER])
       :: else
       fi;
#ifndef JOIN_KEEPS_ACCEPTED
       /* Nor may a round go on whose order is still under way to the engine of rank 0. */
       accepted[ORDER (1, DECIDER)] = false;
       accepted[ORDER (2, DECIDER)] = false;
#endif
       join_armed = armed[DECIDER];
       member = inc[REPLACE];
#endif
       join_map = map[DECIDER];
       join_ready = true
     }
  :: atomic {
       !alive[REPLACE] && join_ready ->
       map[REPLACE] = join_map;
       armed[REPLACE] = join_armed;
       decided[REPLACE] = (join_armed != NO_ROUND);
       alive[REPLACE] = true
     }
  od
}

#endif
#endif /* REPLACE */

#ifdef REACH_COMMIT
#define WITNESS (map[0] == 1 && map[1] == 1 && map[2] == 1 && step[0] == LAST_STEP)
#endif
#ifdef REACH_BOTH
#define WITNESS (map[0] == 2 && map[1] == 2 && map[2] == 2 && ack[ORDER (1, 0)] && told_commit[TOLD (0, 1)])
#endif
#ifdef REACH_REPLACED
#define WITNESS (inc[REPLACE] == 1 && alive[REPLACE] && map[REPLACE] == 1 && step[REPLACE] == LAST_STEP)
#endif

bool witness_reached;

init
{
  atomic {
    run engine (0);
    run engine (1);
    run engine (2);
    run agent (0, 1);
    run agent (0, 2);
    run agent (1, 1);
    run agent (1, 2);
    run agent (2, 1);
    run agent (2, 2);
    run decide (1);
    run decide (2);
    run controller (1);
#ifndef ONE_ROUND
    run controller (2);
#endif
#ifdef RESTART
    run restart ();
    run learn_floor (RESTART);
#endif
#ifdef REPLACE
    run replace ();
    run learn_floor (REPLACE)
#endif
  }
#ifdef WITNESS
end:
  do
  :: atomic { WITNESS -> witness_reached = true; assert (!witness_reached) }
  od
#endif
}

#ifdef LIVENESS
ltl go_on { <> (step[0] == LAST_STEP && step[1] == LAST_STEP && step[2] == LAST_STEP) }
#endif
