/*
 * Expert-map rounds: three ranks in lock-step, their agents, and two controllers with one round each.
 *
 * Round 1 belongs to the older lease. Its controller may be paused past the end of its lease, so that its
 * orders arrive after those of round 2. A message is a flag that stays set once it is sent: it may never
 * be handled (loss), be handled late or in any order (delay), or be handled several times (duplication).
 * Every transition either changes the state irreversibly or is one of a bounded number of restarts, so
 * every run ends. The liveness claim requires that all ranks have reached the last step by then.
 *
 * Options: RESTART=r (the agent of rank r restarts once while its engine continues), REPLACE=r (engine and
 * agent of rank r are replaced once), ROUND1_STEP and ROUND2_STEP (the step for which a round is armed),
 * CRASH (the controllers may crash), LATE_ARM (the order to arm may reach the engine late, and the engine
 * does not check fencing numbers), UNCHECKED_COMMIT (the engine of rank 0 executes a commit order at any
 * time before the step of the round, even if the round is not armed), ONE_ROUND (only round 1), LIVENESS
 * (enables the claim go_on).
 */

#define N_RANKS 3
#define LAST_STEP 3
#define DECIDER 0               /* rank 0 decides whether a round is committed or aborted */
#define NO_ROUND 0

#ifndef ROUND1_STEP
#define ROUND1_STEP 2
#endif
#ifndef ROUND2_STEP
#define ROUND2_STEP 2
#endif
#define STEP_OF(n) ((n) == 1 -> ROUND1_STEP : ROUND2_STEP)

#define ORDER(n, r) ((n) * N_RANKS + (r))
#define DECISION(d, n) ((d) * 3 + (n))

/* Engines. The map of a round has the number of the round; 0 is the initial map. */
bool alive[N_RANKS] = true;
byte step[N_RANKS];             /* steps started */
byte map[N_RANKS];              /* map in use */
byte armed[N_RANKS];            /* armed round */
bool decided[N_RANKS];          /* the armed round is committed */
bool commit_sent[3];            /* a commit order to the engine of rank 0 is in flight, by round */

/* Agents. */
byte inc[N_RANKS];
byte floor[N_RANKS];            /* rounds with lower numbers are refused */
bool floor_known[N_RANKS] = true;
bool decider_seen[N_RANKS];     /* newest decider seen; decisions of an older one are refused */
byte member = 255;              /* rank 0: incarnation of the replaced rank that it admitted */
bool decision_lost;
bool sent_by_self[3];           /* UNCHECKED_COMMIT, rank 0: this incarnation sent the commit order */
bool accepted[9];               /* LATE_ARM: this incarnation accepted the order to arm */
bool arm_sent[9];               /* LATE_ARM: an order to arm is in flight to the engine */

/* Controllers and the lease service. */
bool started[3];
bool crashed[3];
byte round_inc[9];              /* incarnation that the orders of a round name, by rank */
byte service_round;             /* highest round number issued */

/* Messages. */
bool ack[9];                    /* rank r has armed round n */
bool commit_announced[6];       /* commit of round n was announced by decider d */
bool abort_announced[6];
bool decider;                   /* 0: the first, 1: its replacement */
bool join_ready;
byte join_map;
byte join_armed;

/* Ghost state: used only by assertions. */
byte last_effect[N_RANKS];      /* highest round with an order that took effect at the rank */

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

/* Floor after round n was armed or aborted: round n itself is refused too. */
#ifdef INCLUSIVE_FLOOR
#define NEW_FLOOR(n) (n)
#else
#define NEW_FLOOR(n) ((n) + 1)
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

/* The engine executes the order to arm. */
inline engine_arm (r, n)
{
  armed[r] = n;
  decided[r] = false
}

inline accept_arm (r, n)
{
  assert (n >= last_effect[r]);
  last_effect[r] = n;
  raise_floor (r, NEW_FLOOR (n));
#ifdef LATE_ARM
  accepted[ORDER (n, r)] = true;
  arm_sent[ORDER (n, r)] = true
#else
  engine_arm (r, n);
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
/* A rank accepts decisions only from the newest decider that it has seen. */
#define ACCEPTS_DECIDER(d, r) (d >= decider_seen[r])

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
  :: atomic { alive[r] && ARM_ARRIVES (n, r) && ARM_FITS (n, r) -> accept_arm (r, n) }
#ifdef LATE_ARM
     /* The engine executes an order late, possibly from an agent that has restarted since. */
  :: atomic { alive[r] && arm_sent[ORDER (n, r)] && ARM_FITS (n, r) -> engine_arm (r, n); arm_sent[ORDER (n, r)] = false }
     /* Acknowledges a round only if the engine has armed it and this incarnation accepted it. */
  :: atomic { alive[r] && armed[r] == n && ACCEPTED (n, r) && !ack[ORDER (n, r)] -> ack[ORDER (n, r)] = true }
     /* Rank 0 finds a round armed that it has already aborted: the order to arm arrived late. */
  :: atomic {
       alive[r] && r == DECIDER && armed[r] == n && !decided[r] && abort_announced[DECISION (decider, n)] -> forget_armed (r)
     }
#endif
     /* An order arrives while an earlier round is still armed: raises the floor and arms nothing. */
  :: atomic {
       alive[r] && ARM_ARRIVES (n, r) && armed[r] != NO_ROUND && floor[r] < n -> raise_floor (r, n)
     }
     /* Cancels a round that is not armed: the rank will not arm it later. */
  :: atomic {
       alive[r] && started[n] && floor_known[r] && armed[r] != n && floor[r] <= n -> raise_floor (r, n + 1)
     }
  :: atomic {
       alive[r] && r != DECIDER && armed[r] == n && !decided[r] && DECISION_FENCE_OK (n, r) &&
         ((commit_announced[DECISION (0, n)] && ACCEPTS_DECIDER (0, r)) || commit_announced[DECISION (1, n)]) ->
       decided[r] = true
     }
  :: atomic {
       alive[r] && r != DECIDER && armed[r] == n && !decided[r] && DECISION_FENCE_OK (n, r) &&
         ((abort_announced[DECISION (0, n)] && ACCEPTS_DECIDER (0, r)) || abort_announced[DECISION (1, n)]) ->
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
  raise_floor (DECIDER, NEW_FLOOR (n));
  accepted[ORDER (n, DECIDER)] = false;
  abort_announced[DECISION (decider, n)] = true
}

#define COMMITTED(n) ((armed[DECIDER] == n && decided[DECIDER]) || map[DECIDER] == n)

/*
 * A commit order may be executed late. If the engine does not check that the round is still armed, the
 * agent must not abort the round after it sent the order. A restarted agent cannot know whether the order
 * was sent, so it must commit a round that all ranks have armed.
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
       commit_announced[DECISION (decider, n)] = true
#endif
     }
     /* The engine executes the commit order, possibly late. */
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
     /* Announces the commit that the engine has acknowledged. */
  :: atomic {
       alive[DECIDER] && COMMITTED (n) && !decision_lost && !commit_announced[DECISION (decider, n)] ->
       commit_announced[DECISION (decider, n)] = true
     }
#ifndef NO_ABORT
     /* Aborts the round: a rank asks for the decision, or the decision is overdue. */
  :: atomic {
       alive[DECIDER] && ANY_ARMED (n) && !abort_announced[DECISION (decider, n)] && map[DECIDER] < n && !COMMITTED (n) &&
         MAY_ABORT (n) ->
       abort_round (n)
     }
#endif
#ifdef NO_DECISION_IN_ENGINE
  :: atomic {
       alive[DECIDER] && decision_lost && ANY_ARMED (n) && !abort_announced[DECISION (decider, n)] ->
       abort_announced[DECISION (decider, n)] = true
     }
#endif
  od
}

inline choose_round_inc (n, r)
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
       choose_round_inc (n, 0);
       choose_round_inc (n, 1);
       choose_round_inc (n, 2);
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
/* The agent of rank RESTART restarts while its engine continues. */
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
          decision_lost = decided[DECIDER]
#endif
       :: else
       fi
     }
  fi
}
#endif

/* A new agent reads the floor from the lease service and the engine once before it accepts orders. */
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

/* The rank dies. Its successor repeats a step that no other rank has finished. */
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

/* What a rank reported to the new decider. The rank may have advanced since. */
byte seen_step[N_RANKS];
byte seen_map[N_RANKS];
byte seen_armed[N_RANKS];
bool seen_decided[N_RANKS];
bool reported[N_RANKS];

/* Whether the reports of the other ranks prove that round n was committed. */
#define KNOWS_COMMIT(q, n) (seen_armed[q] == n && seen_decided[q])
#define INFERS_COMMIT(q, x, n) (seen_map[q] == n && seen_armed[x] == n)
#define KNOWN_COMMIT(n) (KNOWS_COMMIT (1, n) || KNOWS_COMMIT (2, n) || INFERS_COMMIT (1, 2, n) || INFERS_COMMIT (2, 1, n))
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
 * The decider itself is replaced. Its successor first collects a report from every other rank, which also
 * makes that rank refuse decisions of the old decider. It then adopts the reported state and joins.
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

/* A rank is replaced; rank 0 admits its successor. */
proctype replace ()
{
end:
  do
  :: atomic { inc[REPLACE] == 0 && alive[REPLACE] -> die () }
  :: atomic {
       !alive[REPLACE] && !join_ready && MAY_JOIN ->
#ifndef NO_JOIN_DECIDE
       /* The ack of the dead rank is no longer valid, so an undecided round is aborted. */
       if
       :: armed[DECIDER] != NO_ROUND && !decided[DECIDER] -> abort_round (armed[DECIDER])
       :: else
       fi;
#ifndef JOIN_KEEPS_ACCEPTED
       /* A round whose order is still in flight to the engine of rank 0 must not continue either. */
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
#define WITNESS (map[0] == 2 && map[1] == 2 && map[2] == 2 && ack[ORDER (1, 0)] && commit_announced[DECISION (0, 1)])
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
