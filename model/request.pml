/*
 * The request protocol: one ticketed key, its home agent, one agent that can be granted the key.
 *
 * The network is a set of messages that only grows. A message in the set may be received never (loss),
 * late or out of order (delay), or again (duplication); a paused sender is one whose message is late.
 * Each process handles one message a step and may be arbitrarily slow.
 *
 * Configurations: ARBITER (at most one run, truthful not-run), MATCH (an answer reaches its own
 * request), STREAM (pieces of one answer between engine, agent and entry), LEAVE (a home agent leaves
 * while entries still mint tickets for it), KEYLESS (a request without a key, retried by its entry).
 */

bool witness_reached;           /* set by the REACH_ switches only */

#ifdef ARBITER

#define N_ENTRIES 2
#define N_GRANTS 2              /* the first grant and one re-grant */
#define GRANT_ID(n, inc) ((n) * 2 + (inc))

/* Entry states. */
#define E_IDLE 0
#define E_ACTIVE 1
#define E_TOLD 2

/* Records of an agent about the key. */
#define R_NONE 0
#define R_GRANTED 1
#define R_RELEASED 2            /* the granted agent has tombstoned the key */
#define R_RUNNING 3
#define R_DONE 4
#define R_TOMBSTONE 5

/* Ghost state, seen by assertions only. */
byte runs;                      /* runs of the key, over all agents and incarnations */
bool told_not_run;

/* Entries. */
byte e_state[N_ENTRIES];
bool e_dispatched[N_ENTRIES];   /* an ask to the home agent may be on its way */

/* Home agent. */
bool h_inc;
byte h_record;
bool h_holder;                  /* incarnation of the granted agent that holds the key */
byte h_grant;                   /* number of the current grant */
bool h_floor;                   /* every key without a record and up to this expiry is refused */
bool h_leaving;
bool h_expired;                 /* the ticket has expired in the home agent's clock */
bool entry_clock_expired;       /* the same, by the clock of an entry */

/* Granted agent. */
bool g_inc;
byte g_record;
byte g_seen;                    /* grants below this number have been replied to */
bool g_expired[N_GRANTS];       /* the grant has expired in the granted agent's clock */
bool g_unrecorded;              /* a run has begun whose record is not yet written */

/* Messages. */
bool m_grant[4];                /* home to entry: grant n to incarnation i */
bool m_run[4];                  /* entry to granted agent: run under grant n */
bool m_tombstone[4];            /* granted agent to entry and home: never run under n, never will */
bool m_not_run;                 /* home to entry: the key is tombstoned */
bool m_answer[N_ENTRIES];

#define ASKED (e_dispatched[0] || e_dispatched[1])
#define ANY_GRANT (m_grant[0] || m_grant[1] || m_grant[2] || m_grant[3])
#define ANY_TOMBSTONE (m_tombstone[0] || m_tombstone[1] || m_tombstone[2] || m_tombstone[3])

inline begin_run ()
{
  runs++;
  assert (runs <= 1);
  assert (!told_not_run);
}

inline tell_not_run (e)
{
  assert (runs == 0);
  told_not_run = true;
  e_state[e] = E_TOLD;
}

proctype entry (byte e)
{
  byte i;
end:
  do
  :: atomic { e_state[e] == E_IDLE -> e_state[e] = E_ACTIVE }
     /* The caller, or a copy of its request in the network, comes again through the same entry. */
  :: atomic { e_state[e] == E_TOLD -> e_state[e] = E_ACTIVE }
  :: atomic { e_state[e] == E_ACTIVE && !e_dispatched[e] -> e_dispatched[e] = true }
     /* Dispatch under a grant that the home agent has named. */
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
       e_state[e] = E_TOLD
     }
  :: atomic { e_state[e] == E_ACTIVE && e_dispatched[e] && m_not_run -> tell_not_run (e) }
     /* Time-out, wrong incarnation, expired ticket, lost link: the key may have run. */
  :: atomic { e_state[e] == E_ACTIVE -> e_state[e] = E_TOLD }
#ifdef NOT_RUN_EARLY
  :: atomic { e_state[e] == E_ACTIVE && e_dispatched[e] -> tell_not_run (e) }
#endif
#ifdef NOT_RUN_LOCAL
  :: atomic { e_state[e] == E_ACTIVE && !e_dispatched[e] -> tell_not_run (e) }
#endif
#ifdef NOT_RUN_BY_AGENT
  :: atomic { e_state[e] == E_ACTIVE && e_dispatched[e] && ANY_TOMBSTONE -> tell_not_run (e) }
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

#define H_ACCEPTS (ASKED && H_INCARNATION_OK && H_VALID)
/* The key may be run or granted: it has no record and is above the floor, or its grant came back. */
#define H_FREE ((h_record == R_NONE && !h_floor) || h_record == R_RELEASED)

#ifdef NO_GRANT_MATCH
#define RELEASED ANY_TOMBSTONE
#else
#define RELEASED m_tombstone[GRANT_ID (h_grant, h_holder)]
#endif

proctype home ()
{
  bool believed;                /* incarnation that the proposing entry believes in */
end:
  do
     /* Run at home. */
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
     /* Grant to the other agent, under the incarnation that an entry believes in. */
  :: atomic {
       H_ACCEPTS && H_FREE && h_grant < N_GRANTS ->
       if
       :: believed = 0
       :: g_inc == 1 -> believed = 1
       fi;
       m_grant[GRANT_ID (h_grant, believed)] = true;
#ifndef NO_GRANT_RECORD
       h_record = R_GRANTED;
       h_holder = believed;
#endif
       believed = 0
     }
     /* A grant moves only on the tombstone of the very grant. */
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
     /* Refuse (full, leaving, withdrawn by an entry): tombstone first. */
  :: atomic {
       H_ACCEPTS && H_FREE ->
#ifndef NO_TOMBSTONE
       h_record = R_TOMBSTONE;
#endif
       m_not_run = true
     }
     /* The record table is full: no record can be written, so the floor stands for it. */
  :: atomic {
       H_ACCEPTS && h_record == R_NONE && !h_floor ->
#ifndef FULL_NO_FLOOR
       h_floor = true;
#endif
       m_not_run = true
     }
  :: atomic { !h_leaving -> h_leaving = true }
     /* The ticket expires; the record may then be forgotten, except of a run in progress. */
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

/* Records that grant n has been replied to; what was replied is kept until n expires. */
inline note_grant (n)
{
#ifdef FORGET_FIRST
  if
  :: g_seen == 0 -> g_seen = n + 1
  :: else
  fi
#else
  if
  :: g_seen <= n -> g_seen = n + 1
  :: else
  fi
#endif
}

#define G_FORGETS ((g_seen < 1 || g_expired[0]) && (g_seen < 2 || g_expired[1]))

proctype granted ()
{
  byte n;
  bool i;
end:
  do
  :: atomic {
       /* Choose a grant; a dispatch or a cancel that names it has arrived. */
       ANY_GRANT ->
       select (n : 0 .. 1);
       if
       :: i = 0
       :: i = 1
       fi;
       if
       :: m_run[GRANT_ID (n, i)] && G_ACCEPTS (n, i) && g_record == R_NONE ->
          begin_run ();
          note_grant (n);
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
          note_grant (n);
          m_tombstone[GRANT_ID (n, i)] = true
       :: m_grant[GRANT_ID (n, i)] && G_ACCEPTS (n, i) && g_record == R_TOMBSTONE ->
          note_grant (n);
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
       (g_record == R_DONE || g_record == R_TOMBSTONE) && G_FORGETS ->
       g_record = R_NONE;
       g_seen = 0
     }
#ifdef GRANTED_RESTART
  :: atomic {
       g_inc == 0 ->
       g_inc = 1;
       g_record = R_NONE;
       g_seen = 0;
       g_unrecorded = false
     }
#endif
  od
}

/* Witnesses: states that the guarded protocol must be able to reach. */
#ifdef REACH_REGRANT
#define WITNESS (runs == 1 && m_tombstone[0] && m_answer[1] && e_state[0] == E_TOLD && !m_answer[0])
#endif
#ifdef REACH_REGRANT_TWICE
#define WITNESS (m_tombstone[0] && m_grant[3] && g_record == R_DONE)
#endif
#ifdef REACH_NOT_RUN
#define WITNESS (told_not_run && e_state[0] == E_TOLD && m_tombstone[0])
#endif

init
{
  atomic {
    run entry (0);
    run entry (1);
    run home ();
    run granted ()
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
 * One entry with one slot for a request in flight, one agent that it reaches over a link. Requests,
 * attempts and links follow one another in the slot; each dispatch is a generation of its own, whose
 * pieces may arrive at any later time. The attempt counter starts again with each request and link.
 */

#define N_REQUESTS 2
#define N_LINKS 2
#define N_ATTEMPTS 2
#define N_PIECES 2              /* the last one carries the end mark */
#define NO_GENERATION 255
#define GENERATION(r, l, a) (((r) * N_LINKS + (l)) * N_ATTEMPTS + (a))

bool dispatched[8];             /* by generation; its pieces may arrive from then on */
bool waiting;                   /* the slot holds a request */
byte begun;                     /* requests that have had the slot */
byte request;
byte link;
byte attempt;
byte pieces;                    /* pieces accepted for the caller that waits */
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
  :: pieces == N_PIECES -> answered[request] = true; waiting = false
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
     /* The next request takes the slot. */
  :: atomic {
       !waiting && begun < N_REQUESTS ->
       request = begun;
       begun++;
       attempt = 0;
       waiting = true;
       dispatch ()
     }
     /* An idempotent request is tried again on the same link. */
  :: atomic { waiting && attempt + 1 < N_ATTEMPTS -> attempt++; dispatch () }
     /* The link is declared dead and dialled again; attempts are counted from zero on the new one. */
  :: atomic { waiting && link + 1 < N_LINKS -> link++; attempt = 0; dispatch () }
     /* The caller gets its final answer (unknown) and the slot is free. */
  :: atomic { waiting -> waiting = false; pieces = 0 }
     /* A piece of any generation arrives. */
  :: atomic {
       waiting ->
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
 * One run and its answer: an engine that streams pieces to an agent over a connection that can go
 * silent, the agent that keeps them, and two entries (one after the other) that fetch them.
 * The engine numbers its pieces; a piece once produced may arrive at any time on any connection that
 * asked for it. The engine may restart, and a new run is a new generation.
 */

#define N_PIECES 2              /* piece numbers 0 and 1; the end mark follows as number 2 */
#define END N_PIECES
#define N_GENERATIONS 2
#define N_ENTRIES 2

/* Engine. */
byte engine_runs;               /* ghost: runs begun */
byte generation;                /* the run the engine knows; 0 is none */
byte produced[3];               /* pieces and end mark produced, by generation */
bool engine_restarted;

/* Agent to engine. */
bool post_sent[2];              /* an order to begin the run is under way, by connection */
bool post_taken[2];
bool connection;                /* the connection in use */
bool asked[6];                  /* generation, connection: a stream was asked for on the connection */
#define ASK_ID(g, c) ((g) * 2 + (c))

/* Agent. */
byte kept;                      /* pieces kept, the end mark counting as one */
byte kept_generation;           /* generation of the pieces kept */
bool kept_mixed;                /* ghost: pieces of two generations, or out of order */
bool agent_restarted;
bool run_lost;                  /* the engine said that it does not know the run */

/* Entries. */
byte passed[N_ENTRIES];         /* pieces passed to the caller */
byte passed_generation[N_ENTRIES];
bool whole[N_ENTRIES];          /* the answer was ended as whole */
bool cut[N_ENTRIES];            /* the answer was ended visibly cut */

inline begin_engine_run (c)
{
  engine_runs++;
#ifndef IDEMPOTENT
  assert (engine_runs <= 1);
#endif
  generation = engine_runs;
  asked[ASK_ID (generation, c)] = true
}

proctype engine ()
{
end:
  do
     /* An order to begin a run arrives, perhaps long after it was sent. */
  :: atomic {
       post_sent[0] && !post_taken[0] && generation + 1 <= N_GENERATIONS ->
       post_taken[0] = true;
       begin_engine_run (0)
     }
  :: atomic {
       post_sent[1] && !post_taken[1] && generation + 1 <= N_GENERATIONS ->
       post_taken[1] = true;
       begin_engine_run (1)
     }
  :: atomic { generation != 0 && produced[generation] <= END -> produced[generation]++ }
  :: atomic { !engine_restarted && engine_runs > 0 -> engine_restarted = true; generation = 0 }
  od
}

/* A piece or the end mark of generation g with number p reaches the agent. */
inline keep_piece (g, p)
{
  if
#ifndef NO_GENERATION
     /* A piece of another run. */
  :: kept_generation != 0 && kept_generation != g -> skip
#endif
#ifndef NO_SEQUENCE
     /* A piece kept before, or one that follows a piece still missing. */
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
     /* A piece arrives, on the connection in use or late on the one given up. */
  :: atomic {
       (asked[2] || asked[3] || asked[4] || asked[5]) && kept <= END ->
       select (g : 1 .. 2);
       select (p : 0 .. 2);
       if
       :: c = 0
       :: c = 1
       fi;
       if
       :: asked[ASK_ID (g, c)] && p < produced[g] -> keep_piece (g, p)
       :: else
       fi;
       g = 0;
       p = 0;
       c = 0
     }
     /* The stream is silent: a fresh connection, and resume the run from the first piece missing. */
  :: atomic {
       post_sent[0] && !connection ->
       connection = true;
       if
       :: generation != 0 -> asked[ASK_ID (generation, 1)] = true
       :: generation == 0 -> run_lost = true
       fi
     }
     /* The agent restarts beside the engine, lists its runs and adopts the one it finds. */
  :: atomic {
       post_sent[0] && !agent_restarted ->
       agent_restarted = true;
       kept = 0;
       kept_generation = 0;
       connection = true;
       if
       :: generation != 0 -> asked[ASK_ID (generation, 1)] = true
       :: generation == 0 -> run_lost = true
       fi
     }
     /* The engine restarted and closed the connection. */
  :: atomic { engine_restarted && !run_lost && kept <= END -> run_lost = true }
#if defined(REPOST) || defined(IDEMPOTENT)
     /* The run is not known to the engine: begin it again. */
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
#define PASSABLE(e) true
#else
#define PASSABLE(e) (passed[e] == 0 || passed_generation[e] == kept_generation)
#endif

/* An entry passes the kept pieces on in order, ends the answer as whole at the end mark only. */
proctype entry (byte e)
{
end:
  do
  :: atomic {
       !whole[e] && !cut[e] && passed[e] < kept && passed[e] < END && PASSABLE (e) ->
       assert (passed[e] == 0 || passed_generation[e] == kept_generation);
       passed_generation[e] = kept_generation;
       passed[e]++
     }
     /* The pieces passed so far are of a generation that the agent has dropped. */
  :: atomic {
       !whole[e] && !cut[e] && passed[e] > 0 && passed_generation[e] != kept_generation ->
       cut[e] = true
     }
  :: atomic {
       !whole[e] && !cut[e] && passed[e] == END && kept == END + 1 &&
         passed_generation[e] == kept_generation ->
       assert (!kept_mixed);
       assert (produced[kept_generation] == END + 1);
       whole[e] = true
     }
     /* The link to the agent closes, or the deadline passes. */
  :: atomic {
       !whole[e] && !cut[e] ->
#ifdef NO_END_MARK
       assert (passed[e] == END);
       whole[e] = true
#else
       cut[e] = true
#endif
     }
  od
}

#ifdef REACH_RESUME
#define WITNESS (whole[1] && asked[3] && !agent_restarted && cut[0] && passed[0] == 1)
#endif
#ifdef REACH_ADOPT
#define WITNESS (whole[0] && whole[1] && agent_restarted && asked[3])
#endif
#ifdef REACH_RERUN
#define WITNESS (whole[1] && cut[0] && kept_generation == 2)
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
 * A home agent leaves. An entry mints tickets from the reading of the home agent's clock in the last
 * heartbeat; heartbeats arrive late, and each tells whether its sender was leaving. While a ticket is
 * valid a resend must find the arbiter. One tick is one unit of the home agent's clock.
 */

#define LIFE 2                  /* ticks for which a ticket is valid after the reading */
#define LAST_TICK 8

byte now;
byte reading;                   /* the home agent's clock in the last heartbeat */
bool knows_leaving;             /* that heartbeat said leaving */
bool leaving;
byte leaving_at;
byte last_expiry;               /* highest expiry of a ticket minted */
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
     /* A heartbeat sent at an earlier or the present time arrives. */
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
       :: reading + LIFE > last_expiry -> last_expiry = reading + LIFE
       :: else
       fi;
       assert (!exited || EXPIRED (reading + LIFE))
     }
  od
}

proctype home ()
{
end:
  do
  :: atomic { !leaving -> leaving = true; leaving_at = now }
  :: atomic { minted && !leaving && !ran && !EXPIRED (last_expiry) -> running = true; ran = true }
  :: atomic { running -> running = false }
  :: atomic {
       leaving && !exited &&
#ifndef EXIT_EARLY
         EXPIRED (leaving_at + LIFE) &&
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
    run home ()
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
 * A request without a key, not idempotent: its entry is the only one that knows it, and may try agent 1
 * after agent 0. A dispatch may be held up in a link that went silent; the entry dials again and asks
 * for the attempt by its number. Either agent may restart once.
 */

#define N_AGENTS 2
#define A_NONE 0
#define A_RAN 1
#define A_TOMBSTONE 2

byte runs;
bool told_not_run;
bool told;
bool dispatched[N_AGENTS];      /* a dispatch names the incarnation 0 of its agent */
bool asked[N_AGENTS];           /* the entry asks for the attempt on a new link */
bool refused[N_AGENTS];         /* the agent has said: never run, and never will */
bool incarnation[N_AGENTS];
byte record[N_AGENTS];

#ifdef NO_INCARNATION
#define NAMED(a) true
#else
#define NAMED(a) (incarnation[a] == 0)
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
       dispatched[a] && NAMED (a) && record[a] == A_NONE ->
       record[a] = A_RAN;
       runs++;
       assert (runs <= 1);
       assert (!told_not_run)
     }
     /* Full or leaving. */
  :: atomic { dispatched[a] && NAMED (a) && record[a] == A_NONE -> refuse (a) }
     /* Asked for an attempt that has not arrived. */
  :: atomic { asked[a] && NAMED (a) && record[a] == A_NONE -> refuse (a) }
#ifdef GONE_IS_REFUSED
  :: atomic { asked[a] && incarnation[a] == 1 -> refused[a] = true }
#endif
  :: atomic { incarnation[a] == 0 -> incarnation[a] = 1; record[a] = A_NONE }
  od
}

proctype entry ()
{
end:
  do
  :: atomic { !told && !dispatched[0] -> dispatched[0] = true }
  :: atomic { !told && dispatched[0] && !asked[0] -> asked[0] = true }
  :: atomic { !told && refused[0] && !dispatched[1] -> dispatched[1] = true }
#ifdef RETRY_ON_TIMEOUT
  :: atomic { !told && dispatched[0] && !dispatched[1] -> dispatched[1] = true }
#endif
  :: atomic { !told && dispatched[1] && !asked[1] -> asked[1] = true }
  :: atomic {
       !told && (!dispatched[0] || refused[0]) && (!dispatched[1] || refused[1]) ->
       assert (runs == 0);
       told = true;
       told_not_run = true
     }
  :: atomic { !told -> told = true }
  od
}

#ifdef REACH_RETRY
#define WITNESS (runs == 1 && record[1] == A_RAN && asked[0])
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
