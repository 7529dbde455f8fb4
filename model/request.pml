/*
 * The request protocol: one ticketed key, its home agent, and one agent that can be granted the key.
 *
 * The network is a set of messages that only grows. A message in the set may never be received (loss),
 * be received late or out of order (delay), or be received several times (duplication). A paused sender
 * is modeled by a late message. Each process handles one message per step and may be arbitrarily slow.
 *
 * Configurations: ARBITER (a key runs at most once, and not-run is reported only if it is true), MATCH
 * (an answer reaches only the request that it belongs to), STREAM (transfer of the pieces of one answer
 * between engine, agent and entry), LEAVE (a home agent shuts down while entries still mint tickets for
 * it), KEYLESS (a request without a key, retried by its entry).
 */

bool witness_reached;           /* set only in the REACH_ configurations */

#ifdef ARBITER

#define N_ENTRIES 2
#define N_GRANTS 2              /* the first grant and one re-grant */
#define GRANT_ID(n, inc) ((n) * 2 + (inc))

/* Entry states. */
#define E_IDLE 0
#define E_ACTIVE 1
#define E_ANSWERED 2            /* the caller has received its final answer */

/* What an agent has recorded about the key. */
#define R_NONE 0
#define R_GRANTED 1
#define R_RELEASED 2            /* the granted agent has tombstoned the key */
#define R_RUNNING 3
#define R_DONE 4
#define R_TOMBSTONE 5

/* Ghost state: used only by assertions. */
byte runs;                      /* executions of the key, over all agents and incarnations */
bool not_run_reported;

/* Entries. */
byte e_state[N_ENTRIES];
bool e_dispatched[N_ENTRIES];   /* a dispatch to the home agent may be in flight */

/* Home agent. */
bool h_inc;                     /* incarnation */
byte h_record;
bool h_holder;                  /* incarnation of the granted agent that holds the key */
byte h_grant;                   /* number of the current grant */
bool h_floor;                   /* refuses keys without a record that expire no later than this one */
bool h_leaving;
bool h_expired;                 /* the ticket has expired by the home agent's clock */
bool entry_clock_expired;       /* the same, by the clock of an entry */

/* Granted agent. */
bool g_inc;                     /* incarnation */
byte g_record;
byte g_replied_below;           /* grants with lower numbers have received a reply */
bool g_expired[N_GRANTS];       /* the grant has expired by the granted agent's clock */
bool g_unrecorded;              /* a run has started but its record is not yet written */

/* Messages. */
bool m_grant[4];                /* home agent to entry: grant n to incarnation i */
bool m_run[4];                  /* entry to granted agent: run under grant n */
bool m_tombstone[4];            /* granted agent to entry and home agent: not run under grant n, never will be */
bool m_not_run;                 /* home agent to entry: the key is tombstoned */
bool m_answer[N_ENTRIES];

#define ANY_DISPATCHED (e_dispatched[0] || e_dispatched[1])
#define ANY_GRANT (m_grant[0] || m_grant[1] || m_grant[2] || m_grant[3])
#define ANY_TOMBSTONE (m_tombstone[0] || m_tombstone[1] || m_tombstone[2] || m_tombstone[3])

inline begin_run ()
{
  runs++;
  assert (runs <= 1);
  assert (!not_run_reported);
}

inline report_not_run (e)
{
  assert (runs == 0);
  not_run_reported = true;
  e_state[e] = E_ANSWERED;
}

proctype entry (byte e)
{
  byte i;
end:
  do
  :: atomic { e_state[e] == E_IDLE -> e_state[e] = E_ACTIVE }
     /* The caller resends, or a duplicate of its request arrives, through the same entry. */
  :: atomic { e_state[e] == E_ANSWERED -> e_state[e] = E_ACTIVE }
  :: atomic { e_state[e] == E_ACTIVE && !e_dispatched[e] -> e_dispatched[e] = true }
     /* Dispatch to the granted agent under a grant that the home agent has issued. */
  :: atomic {
       e_state[e] == E_ACTIVE && e_dispatched[e] ->
       select (i : 0 .. 3);
       if
       :: m_grant[i] && !m_run[i] -> m_run[i] = true
       :: else
       fi;
       i = 0
     }
#ifdef NO_HOME
  :: atomic {
       e_state[e] == E_ACTIVE && !m_run[GRANT_ID (0, g_inc)] ->
       m_grant[GRANT_ID (0, g_inc)] = true;
       m_run[GRANT_ID (0, g_inc)] = true
     }
#endif
  :: atomic {
       e_state[e] == E_ACTIVE && m_answer[e] ->
       assert (runs == 1);
       e_state[e] = E_ANSWERED
     }
  :: atomic { e_state[e] == E_ACTIVE && e_dispatched[e] && m_not_run -> report_not_run (e) }
     /* After a timeout, a wrong incarnation, an expired ticket or a lost link, the key may have run. */
  :: atomic { e_state[e] == E_ACTIVE -> e_state[e] = E_ANSWERED }
#ifdef NOT_RUN_EARLY
  :: atomic { e_state[e] == E_ACTIVE && e_dispatched[e] -> report_not_run (e) }
#endif
#ifdef NOT_RUN_LOCAL
  :: atomic { e_state[e] == E_ACTIVE && !e_dispatched[e] -> report_not_run (e) }
#endif
#ifdef NOT_RUN_BY_AGENT
  :: atomic { e_state[e] == E_ACTIVE && e_dispatched[e] && ANY_TOMBSTONE -> report_not_run (e) }
#endif
  od
}

#ifdef NO_INCARNATION
#define H_INCARNATION_OK true
#define G_INCARNATION_OK(i) true
#else
#define H_INCARNATION_OK (h_inc == 0)
#define G_INCARNATION_OK(i) ((i) == g_inc)
#endif

#ifdef FOREIGN_CLOCK
#define H_VALID (!entry_clock_expired)
#else
#define H_VALID (!h_expired)
#endif

#define H_ACCEPTS (ANY_DISPATCHED && H_INCARNATION_OK && H_VALID)
/* The key may be run or granted: it has no record and is above the floor, or its grant was released. */
#define H_FREE ((h_record == R_NONE && !h_floor) || h_record == R_RELEASED)

#ifdef NO_GRANT_MATCH
#define RELEASED ANY_TOMBSTONE
#else
#define RELEASED m_tombstone[GRANT_ID (h_grant, h_holder)]
#endif

proctype home_agent ()
{
  bool assumed_inc;                /* incarnation that the proposing entry assumes */
end:
  do
     /* Run the key on the home agent. */
  :: atomic {
       H_ACCEPTS && H_FREE && !h_leaving ->
       begin_run ();
#ifndef NO_RECORD
       h_record = R_RUNNING
#endif
     }
  :: atomic { h_record == R_RUNNING -> h_record = R_DONE }
  :: atomic { h_record == R_DONE && H_ACCEPTS && e_dispatched[0] && !m_answer[0] -> m_answer[0] = true }
  :: atomic { h_record == R_DONE && H_ACCEPTS && e_dispatched[1] && !m_answer[1] -> m_answer[1] = true }
     /* Grant the key to the other agent, for the incarnation that an entry assumes. */
  :: atomic {
       H_ACCEPTS && H_FREE && h_grant < N_GRANTS ->
       if
       :: assumed_inc = 0
       :: g_inc == 1 -> assumed_inc = 1
       fi;
       m_grant[GRANT_ID (h_grant, assumed_inc)] = true;
#ifndef NO_GRANT_RECORD
       h_record = R_GRANTED;
       h_holder = assumed_inc;
#endif
       assumed_inc = 0
     }
     /* A grant is released only by a tombstone that names this grant. */
  :: atomic {
       H_ACCEPTS && h_record == R_GRANTED && RELEASED ->
       h_record = R_RELEASED;
       h_holder = 0;
       h_grant++
     }
#ifdef REGRANT_ON_RESTART
  :: atomic {
       H_ACCEPTS && h_record == R_GRANTED && g_inc > h_holder ->
       h_record = R_RELEASED;
       h_holder = 0;
       h_grant++
     }
#endif
     /* Refuse the key (full, leaving, or request withdrawn by an entry): write a tombstone first. */
  :: atomic {
       H_ACCEPTS && H_FREE ->
#ifndef NO_TOMBSTONE
       h_record = R_TOMBSTONE;
#endif
       m_not_run = true
     }
     /* The record table is full: no tombstone can be written, so the floor is raised instead. */
  :: atomic {
       H_ACCEPTS && h_record == R_NONE && !h_floor ->
#ifndef FULL_NO_FLOOR
       h_floor = true;
#endif
       m_not_run = true
     }
  :: atomic { !h_leaving -> h_leaving = true }
     /* The ticket expires. Its record may then be dropped, unless the run is in progress. */
  :: atomic { !h_expired -> h_expired = true }
  :: atomic {
       h_expired && h_record != R_NONE && h_record != R_RUNNING ->
       h_record = R_NONE;
       h_holder = 0;
       h_grant = 0
     }
  :: atomic { !entry_clock_expired -> entry_clock_expired = true }
#ifdef HOME_RESTART
  :: atomic {
       h_inc == 0 ->
       h_inc = 1;
       h_record = R_NONE;
       h_holder = 0;
       h_grant = 0;
       h_floor = false;
       h_leaving = false
     }
#endif
  od
}

#define G_ACCEPTS(n, i) (G_INCARNATION_OK (i) && !g_expired[n])

/* Records that grant n has received a reply; the reply is kept until the grant expires. */
inline record_reply (n)
{
#ifdef FORGET_FIRST
  if
  :: g_replied_below == 0 -> g_replied_below = n + 1
  :: else
  fi
#else
  if
  :: g_replied_below <= n -> g_replied_below = n + 1
  :: else
  fi
#endif
}

#define G_MAY_FORGET ((g_replied_below < 1 || g_expired[0]) && (g_replied_below < 2 || g_expired[1]))

proctype granted_agent ()
{
  byte n;
  bool i;
end:
  do
  :: atomic {
       /* Chooses a grant for which a dispatch or a cancel has arrived. */
       ANY_GRANT ->
       select (n : 0 .. 1);
       if
       :: i = 0
       :: i = 1
       fi;
       if
       :: m_run[GRANT_ID (n, i)] && G_ACCEPTS (n, i) && g_record == R_NONE ->
          begin_run ();
          record_reply (n);
#ifdef RECORD_LATE
          g_unrecorded = true
#else
#ifndef NO_RECORD
          g_record = R_RUNNING
#endif
#endif
       :: m_grant[GRANT_ID (n, i)] && G_ACCEPTS (n, i) && g_record == R_NONE ->
#if !defined(NO_TOMBSTONE) && !defined(NO_TOMBSTONE_GRANTED)
          g_record = R_TOMBSTONE;
#endif
          record_reply (n);
          m_tombstone[GRANT_ID (n, i)] = true
       :: m_grant[GRANT_ID (n, i)] && G_ACCEPTS (n, i) && g_record == R_TOMBSTONE ->
          record_reply (n);
          m_tombstone[GRANT_ID (n, i)] = true
       :: m_run[GRANT_ID (n, i)] && G_ACCEPTS (n, i) && g_record == R_DONE ->
          m_answer[0] = m_answer[0] || e_dispatched[0]
       :: m_run[GRANT_ID (n, i)] && G_ACCEPTS (n, i) && g_record == R_DONE ->
          m_answer[1] = m_answer[1] || e_dispatched[1]
       :: else
       fi;
       n = 0;
       i = 0
     }
  :: atomic { g_unrecorded -> g_unrecorded = false; g_record = R_RUNNING }
  :: atomic { g_record == R_RUNNING -> g_record = R_DONE }
  :: atomic { !g_expired[0] -> g_expired[0] = true }
  :: atomic { !g_expired[1] -> g_expired[1] = true }
  :: atomic {
       (g_record == R_DONE || g_record == R_TOMBSTONE) && G_MAY_FORGET ->
       g_record = R_NONE;
       g_replied_below = 0
     }
#ifdef GRANTED_RESTART
  :: atomic {
       g_inc == 0 ->
       g_inc = 1;
       g_record = R_NONE;
       g_replied_below = 0;
       g_unrecorded = false
     }
#endif
  od
}

/* Witnesses: states that must be reachable in the guarded protocol. */
#ifdef REACH_REGRANT
#define WITNESS (runs == 1 && m_tombstone[0] && m_answer[1] && e_state[0] == E_ANSWERED && !m_answer[0])
#endif
#ifdef REACH_REGRANT_TWICE
#define WITNESS (m_tombstone[0] && m_grant[3] && g_record == R_DONE)
#endif
#ifdef REACH_NOT_RUN
#define WITNESS (not_run_reported && e_state[0] == E_ANSWERED && m_tombstone[0])
#endif

init
{
  atomic {
    run entry (0);
    run entry (1);
    run home_agent ();
    run granted_agent ()
  }
#ifdef WITNESS
end:
  do
  :: atomic { WITNESS -> witness_reached = true; assert (!witness_reached) }
  od
#endif
}

#endif /* ARBITER */

#ifdef MATCH

/*
 * One entry with one slot for a request in flight, and one agent that it reaches over a link. The slot
 * is reused by successive requests, attempts and links. Each dispatch is a separate generation, whose
 * pieces may arrive at any later time. The attempt counter restarts with each request and each link.
 */

#define N_REQUESTS 2
#define N_LINKS 2
#define N_ATTEMPTS 2
#define N_PIECES 2              /* the last one carries the end mark */
#define NO_GENERATION 255
#define GENERATION(r, l, a) (((r) * N_LINKS + (l)) * N_ATTEMPTS + (a))

bool dispatched[8];             /* by generation; once set, its pieces may arrive */
bool in_progress;               /* the slot holds a request without a final answer */
byte requests_started;          /* requests that have been given the slot */
byte request;
byte link;
byte attempt;
byte pieces;                    /* pieces accepted for the request in the slot */
byte answer_generation = NO_GENERATION;
bool answered[N_REQUESTS];

#ifndef NO_MATCH_KEY
#define KEY_MATCHES(r) ((r) == request)
#else
#define KEY_MATCHES(r) true
#endif
#ifndef NO_MATCH_ATTEMPT
#define ATTEMPT_MATCHES(a) ((a) == attempt)
#else
#define ATTEMPT_MATCHES(a) true
#endif
#ifndef NO_MATCH_LINK
#define LINK_MATCHES(l) ((l) == link)
#else
#define LINK_MATCHES(l) true
#endif
#ifdef NO_MATCH
#define MATCHES(r, l, a) true
#else
#define MATCHES(r, l, a) (KEY_MATCHES (r) && LINK_MATCHES (l) && ATTEMPT_MATCHES (a))
#endif

inline dispatch ()
{
  dispatched[GENERATION (request, link, attempt)] = true;
  pieces = 0;
  answer_generation = NO_GENERATION
}

inline accept_piece (r, l, a)
{
  assert (r == request);
  assert (answer_generation == NO_GENERATION || answer_generation == GENERATION (r, l, a));
  answer_generation = GENERATION (r, l, a);
  pieces++;
  if
  :: pieces == N_PIECES -> answered[request] = true; in_progress = false
  :: else
  fi
}

proctype entry ()
{
  byte r;
  byte l;
  byte a;
end:
  do
     /* The next request occupies the slot. */
  :: atomic {
       !in_progress && requests_started < N_REQUESTS ->
       request = requests_started;
       requests_started++;
       attempt = 0;
       in_progress = true;
       dispatch ()
     }
     /* An idempotent request is retried on the same link. */
  :: atomic { in_progress && attempt + 1 < N_ATTEMPTS -> attempt++; dispatch () }
     /* The link is declared dead and reconnected; attempts are counted from zero on the new link. */
  :: atomic { in_progress && link + 1 < N_LINKS -> link++; attempt = 0; dispatch () }
     /* The caller receives the final answer "unknown" and the slot becomes free. */
  :: atomic { in_progress -> in_progress = false; pieces = 0 }
     /* A piece of any generation arrives. */
  :: atomic {
       in_progress ->
       select (r : 0 .. 1);
       select (l : 0 .. 1);
       select (a : 0 .. 1);
       if
       :: dispatched[GENERATION (r, l, a)] && MATCHES (r, l, a) -> accept_piece (r, l, a)
       :: else
       fi;
       r = 0;
       l = 0;
       a = 0
     }
  od
}

#ifdef REACH_MATCH
#define WITNESS (answered[0] && answered[1] && link == 1 && attempt == 1)
#endif

init
{
  run entry ();
#ifdef WITNESS
end:
  do
  :: atomic { WITNESS -> witness_reached = true; assert (!witness_reached) }
  od
#endif
}

#endif /* MATCH */

#ifdef STREAM

/*
 * One run and its answer: an engine streams pieces to an agent over a connection that can go silent,
 * the agent stores them, and two entries fetch them one after the other.
 * The engine numbers its pieces. A produced piece may arrive at any time on any connection on which the
 * stream was requested. The engine may restart; a new run is a new generation.
 */

#define N_PIECES 2              /* piece numbers 0 and 1; the end mark follows as number 2 */
#define END N_PIECES
#define N_GENERATIONS 2
#define N_ENTRIES 2

/* Engine. */
byte engine_runs;               /* ghost: runs started */
byte generation;                /* the run that the engine knows; 0: none */
byte produced[3];               /* pieces and end mark produced, by generation */
bool engine_restarted;

/* Agent to engine. */
bool post_sent[2];              /* a POST that starts the run is in flight, by connection */
bool post_received[2];
bool connection;                /* the connection in use */
bool stream_requested[6];       /* by generation and connection: the stream was requested on it */
#define STREAM_ID(g, c) ((g) * 2 + (c))

/* Agent. */
byte kept;                      /* pieces kept, including the end mark */
byte kept_generation;           /* generation of the pieces kept */
bool kept_mixed;                /* ghost: pieces of two generations or out of order were kept */
bool agent_restarted;
bool run_lost;                  /* the engine reported that it does not know the run */

/* Entries. */
byte forwarded[N_ENTRIES];      /* pieces forwarded to the caller */
byte forwarded_generation[N_ENTRIES];
bool complete[N_ENTRIES];       /* the answer was ended as complete */
bool cut_off[N_ENTRIES];        /* the answer was ended so that the caller sees it is cut off */

inline begin_engine_run (c)
{
  engine_runs++;
#ifndef IDEMPOTENT
  assert (engine_runs <= 1);
#endif
  generation = engine_runs;
  stream_requested[STREAM_ID (generation, c)] = true
}

proctype engine ()
{
end:
  do
     /* A POST that starts a run arrives, possibly long after it was sent. */
  :: atomic {
       post_sent[0] && !post_received[0] && generation + 1 <= N_GENERATIONS ->
       post_received[0] = true;
       begin_engine_run (0)
     }
  :: atomic {
       post_sent[1] && !post_received[1] && generation + 1 <= N_GENERATIONS ->
       post_received[1] = true;
       begin_engine_run (1)
     }
  :: atomic { generation != 0 && produced[generation] <= END -> produced[generation]++ }
  :: atomic { !engine_restarted && engine_runs > 0 -> engine_restarted = true; generation = 0 }
  od
}

/* Piece p of generation g, or its end mark, reaches the agent. */
inline keep_piece (g, p)
{
  if
#ifndef NO_GENERATION
     /* The piece belongs to another run. */
  :: kept_generation != 0 && kept_generation != g -> skip
#endif
#ifndef NO_SEQUENCE
     /* The piece is a duplicate, or an earlier piece is still missing. */
  :: p != kept -> skip
#endif
  :: else ->
     if
     :: (kept_generation != 0 && kept_generation != g) || p != kept -> kept_mixed = true
     :: else
     fi;
     kept_generation = g;
     if
     :: kept <= END -> kept++
     :: else
     fi
  fi
}

proctype agent ()
{
  byte g;
  byte p;
  bool c;
end:
  do
  :: atomic { !post_sent[0] -> post_sent[0] = true }
     /* A piece arrives on the connection in use, or late on the abandoned one. */
  :: atomic {
       (stream_requested[2] || stream_requested[3] || stream_requested[4] || stream_requested[5]) && kept <= END ->
       select (g : 1 .. 2);
       select (p : 0 .. 2);
       if
       :: c = 0
       :: c = 1
       fi;
       if
       :: stream_requested[STREAM_ID (g, c)] && p < produced[g] -> keep_piece (g, p)
       :: else
       fi;
       g = 0;
       p = 0;
       c = 0
     }
     /* The stream is silent: opens a new connection and resumes the run at the first missing piece. */
  :: atomic {
       post_sent[0] && !connection ->
       connection = true;
       if
       :: generation != 0 -> stream_requested[STREAM_ID (generation, 1)] = true
       :: generation == 0 -> run_lost = true
       fi
     }
     /* The agent restarts beside a running engine, lists its runs and adopts the one it finds. */
  :: atomic {
       post_sent[0] && !agent_restarted ->
       agent_restarted = true;
       kept = 0;
       kept_generation = 0;
       connection = true;
       if
       :: generation != 0 -> stream_requested[STREAM_ID (generation, 1)] = true
       :: generation == 0 -> run_lost = true
       fi
     }
     /* The engine restarted and closed the connection. */
  :: atomic { engine_restarted && !run_lost && kept <= END -> run_lost = true }
#if defined(REPOST) || defined(IDEMPOTENT)
     /* The engine does not know the run: starts it again. */
  :: atomic {
       run_lost && !post_sent[1] ->
       post_sent[1] = true;
#ifndef NO_GENERATION
       kept = 0;
       kept_generation = 0
#endif
     }
#endif
  od
}

#ifdef NO_GENERATION
#define MAY_FORWARD(e) true
#else
#define MAY_FORWARD(e) (forwarded[e] == 0 || forwarded_generation[e] == kept_generation)
#endif

/* An entry forwards the kept pieces in order and ends the answer as complete only at the end mark. */
proctype entry (byte e)
{
end:
  do
  :: atomic {
       !complete[e] && !cut_off[e] && forwarded[e] < kept && forwarded[e] < END && MAY_FORWARD (e) ->
       assert (forwarded[e] == 0 || forwarded_generation[e] == kept_generation);
       forwarded_generation[e] = kept_generation;
       forwarded[e]++
     }
     /* The pieces forwarded so far belong to a generation that the agent has dropped. */
  :: atomic {
       !complete[e] && !cut_off[e] && forwarded[e] > 0 && forwarded_generation[e] != kept_generation ->
       cut_off[e] = true
     }
  :: atomic {
       !complete[e] && !cut_off[e] && forwarded[e] == END && kept == END + 1 &&
         forwarded_generation[e] == kept_generation ->
       assert (!kept_mixed);
       assert (produced[kept_generation] == END + 1);
       complete[e] = true
     }
     /* The link to the agent closes, or the deadline passes. */
  :: atomic {
       !complete[e] && !cut_off[e] ->
#ifdef NO_END_MARK
       assert (forwarded[e] == END);
       complete[e] = true
#else
       cut_off[e] = true
#endif
     }
  od
}

#ifdef REACH_RESUME
#define WITNESS (complete[1] && stream_requested[3] && !agent_restarted && cut_off[0] && forwarded[0] == 1)
#endif
#ifdef REACH_ADOPT
#define WITNESS (complete[0] && complete[1] && agent_restarted && stream_requested[3])
#endif
#ifdef REACH_RERUN
#define WITNESS (complete[1] && cut_off[0] && kept_generation == 2)
#endif

init
{
  atomic {
    run engine ();
    run agent ();
    run entry (0);
    run entry (1)
  }
#ifdef WITNESS
end:
  do
  :: atomic { WITNESS -> witness_reached = true; assert (!witness_reached) }
  od
#endif
}

#endif /* STREAM */

#ifdef LEAVE

/*
 * A home agent shuts down. An entry mints tickets from the reading of the home agent's clock in the last
 * heartbeat. Heartbeats may arrive late, and each one says whether its sender was leaving. While a ticket
 * is valid, a resend must be able to reach the home agent, which decides whether the key may run. One
 * tick is one unit of the home agent's clock.
 */

#define TICKET_TTL 2            /* validity of a ticket after the reading, in ticks */
#define LAST_TICK 8

byte now;
byte reading;                   /* reading of the home agent's clock in the last heartbeat */
bool knows_leaving;             /* the last heartbeat said that the agent is leaving */
bool leaving;
byte leaving_at;
byte last_expiry;               /* latest expiry of all minted tickets */
bool minted;
bool running;
bool ran;
bool exited;

#define EXPIRED(x) (now > (x))

proctype clock ()
{
end:
  do
  :: atomic { now < LAST_TICK -> now++ }
  od
}

proctype entry ()
{
  byte sent;
end:
  do
     /* A heartbeat sent at an earlier time or now arrives. */
  :: atomic {
       !exited ->
       select (sent : 0 .. LAST_TICK);
       if
       :: sent >= reading && sent <= now && (!leaving || sent <= leaving_at) && !knows_leaving -> reading = sent
       :: sent >= reading && sent <= now && leaving && sent >= leaving_at -> reading = sent; knows_leaving = true
       :: else
       fi;
       sent = 0
     }
#ifdef EXTRAPOLATE
  :: atomic { reading < now -> reading = now }
#endif
  :: atomic {
#ifndef MINT_WHILE_LEAVING
       !knows_leaving ->
#else
       true ->
#endif
       minted = true;
       if
       :: reading + TICKET_TTL > last_expiry -> last_expiry = reading + TICKET_TTL
       :: else
       fi;
       assert (!exited || EXPIRED (reading + TICKET_TTL))
     }
  od
}

proctype home_agent ()
{
end:
  do
  :: atomic { !leaving -> leaving = true; leaving_at = now }
  :: atomic { minted && !leaving && !ran && !EXPIRED (last_expiry) -> running = true; ran = true }
  :: atomic { running -> running = false }
  :: atomic {
       leaving && !exited &&
#ifndef EXIT_EARLY
         EXPIRED (leaving_at + TICKET_TTL) &&
#endif
#ifndef EXIT_RUNNING
         !running &&
#endif
         true ->
       exited = true;
       assert (!running);
       assert (!minted || EXPIRED (last_expiry))
     }
  od
}

#ifdef REACH_EXIT
#define WITNESS (exited && ran && last_expiry > leaving_at)
#endif

init
{
  atomic {
    run clock ();
    run entry ();
    run home_agent ()
  }
#ifdef WITNESS
end:
  do
  :: atomic { WITNESS -> witness_reached = true; assert (!witness_reached) }
  od
#endif
}

#endif /* LEAVE */

#ifdef KEYLESS

/*
 * A request without a key that is not idempotent. Only its entry knows it, and may retry it on agent 1
 * after agent 0. A dispatch may be delayed in a link that went silent; the entry then reconnects and
 * queries the attempt by its number. Either agent may restart once.
 */

#define N_AGENTS 2
#define A_NONE 0
#define A_RAN 1
#define A_TOMBSTONE 2

byte runs;
bool not_run_reported;
bool answered;
bool dispatched[N_AGENTS];      /* a dispatch names incarnation 0 of its agent */
bool queried[N_AGENTS];         /* the entry queries the attempt on a new link */
bool refused[N_AGENTS];         /* the agent has reported that it has not run and will not run */
bool incarnation[N_AGENTS];
byte record[N_AGENTS];

#ifdef NO_INCARNATION
#define INCARNATION_OK(a) true
#else
#define INCARNATION_OK(a) (incarnation[a] == 0)
#endif

inline refuse (a)
{
#ifndef NO_TOMBSTONE
  record[a] = A_TOMBSTONE;
#endif
  refused[a] = true
}

proctype agent (byte a)
{
end:
  do
  :: atomic {
       dispatched[a] && INCARNATION_OK (a) && record[a] == A_NONE ->
       record[a] = A_RAN;
       runs++;
       assert (runs <= 1);
       assert (!not_run_reported)
     }
     /* The agent is full or leaving. */
  :: atomic { dispatched[a] && INCARNATION_OK (a) && record[a] == A_NONE -> refuse (a) }
     /* The agent is queried about an attempt whose dispatch has not arrived. */
  :: atomic { queried[a] && INCARNATION_OK (a) && record[a] == A_NONE -> refuse (a) }
#ifdef GONE_IS_REFUSED
  :: atomic { queried[a] && incarnation[a] == 1 -> refused[a] = true }
#endif
  :: atomic { incarnation[a] == 0 -> incarnation[a] = 1; record[a] = A_NONE }
  od
}

proctype entry ()
{
end:
  do
  :: atomic { !answered && !dispatched[0] -> dispatched[0] = true }
  :: atomic { !answered && dispatched[0] && !queried[0] -> queried[0] = true }
  :: atomic { !answered && refused[0] && !dispatched[1] -> dispatched[1] = true }
#ifdef RETRY_ON_TIMEOUT
  :: atomic { !answered && dispatched[0] && !dispatched[1] -> dispatched[1] = true }
#endif
  :: atomic { !answered && dispatched[1] && !queried[1] -> queried[1] = true }
  :: atomic {
       !answered && (!dispatched[0] || refused[0]) && (!dispatched[1] || refused[1]) ->
       assert (runs == 0);
       answered = true;
       not_run_reported = true
     }
  :: atomic { !answered -> answered = true }
  od
}

#ifdef REACH_RETRY
#define WITNESS (runs == 1 && record[1] == A_RAN && queried[0])
#endif

init
{
  atomic {
    run agent (0);
    run agent (1);
    run entry ()
  }
#ifdef WITNESS
end:
  do
  :: atomic { WITNESS -> witness_reached = true; assert (!witness_reached) }
  od
#endif
}

#endif /* KEYLESS */
