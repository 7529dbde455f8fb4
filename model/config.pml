/*
 * Distribution of the configuration: one document in the key-value store, publishers that may race, and
 * three or four entries.
 *
 * Time is counted in ticks. Within a tick every exchange may or may not happen, so an entry may be cut off
 * from the store, from its peers or from both for any time, in one or both directions. A paused entry does
 * nothing. A write that was sent stays in flight: the store may apply it late or receive it twice.
 *
 * An entry is in contact when it has read the store or heard from a ready peer; it then has the revision
 * that was current there. One number, UNCONFIRMED (u), is used by three rules:
 * - a change is accepted when all listed entries but u have confirmed it;
 * - an entry that cannot read the store admits requests only while it hears from u other entries;
 * - an entry that starts without the store must have heard from u + 1 other entries.
 * Here u is 0 or 1. With u = 0 the second rule always holds.
 *
 * Options: N_PUBLISHERS (1 or 2), N_ENTRIES (3 or 4), UNCONFIRMED (0 or 1), REPLACEMENTS (total number of
 * entry replacements), PAUSE (entries may be paused).
 */

#ifndef N_PUBLISHERS
#define N_PUBLISHERS 1
#endif
#ifndef REPLACEMENTS
#define REPLACEMENTS 0
#endif
#ifndef N_ENTRIES
#define N_ENTRIES 3
#endif
#ifndef UNCONFIRMED
#define UNCONFIRMED 1
#endif
#define ISOLATION_LIMIT 1       /* ticks without contact for which an entry still admits */
/* Ticks after acceptance for which an older revision may be in use. */
#define IN_FORCE_BOUND (ISOLATION_LIMIT + 1)
#define CONFIRM(p, e) ((p) * N_ENTRIES + (e))

/* Publisher states. */
#define P_IDLE 0
#define P_SENT 1                /* the write is in flight, or its answer was lost */
#define P_WRITTEN 2             /* the change is known to be in the store */
#define P_ACCEPTED 3
#define P_FAILED 4
#define P_UNKNOWN 5

/* Store. */
bool store_up = true;
byte store_revision;
byte history;                   /* bit p: the document contains the change of publisher p */
byte last_change = 255;         /* publisher of the last change */

/* Publishers. */
byte p_state[2];
byte p_base[2];
byte p_base_history[2];
byte p_revision[2];             /* a revision that contains the change */
bool cas_sent[2];
bool cas_refused[2];            /* the store has answered a write with a conflict */
bool cas_applied[2];
bool confirmed[8];              /* entry e has confirmed that the change is in force */

/* Entries. */
bool ready[N_ENTRIES] = true;
byte revision[N_ENTRIES];
byte silent[N_ENTRIES];         /* ticks since the last contact */
byte heard[N_ENTRIES];          /* used while starting; bit q: entry q has been heard from */
bool paused[N_ENTRIES];
byte replacements;

/* Ghost state: used only by assertions. */
byte age[2];                    /* ticks since the change was reported accepted */

#define CONTAINS(p) ((history >> (p)) & 1)
#define COUNT_3(p) (confirmed[CONFIRM (p, 0)] + confirmed[CONFIRM (p, 1)] + confirmed[CONFIRM (p, 2)])
#if N_ENTRIES == 4
#define COUNT(p) (COUNT_3 (p) + confirmed[CONFIRM (p, 3)])
#else
#define COUNT(p) COUNT_3 (p)
#endif

#if defined(NO_ISOLATION) || UNCONFIRMED == 0
#define ADMITS(e) (ready[e] && !paused[e])
#else
#define ADMITS(e) (ready[e] && !paused[e] && silent[e] <= ISOLATION_LIMIT)
#endif

/* After the bound, an accepted revision is in force on every entry that admits requests. */
#define IN_FORCE(p, e) (p_state[p] != P_ACCEPTED || age[p] < IN_FORCE_BOUND || !ADMITS (e) || revision[e] >= p_revision[p])
#define ALL_IN_FORCE_3(p) (IN_FORCE (p, 0) && IN_FORCE (p, 1) && IN_FORCE (p, 2))
#if N_ENTRIES == 4
#define ALL_IN_FORCE(p) (ALL_IN_FORCE_3 (p) && IN_FORCE (p, 3))
#else
#define ALL_IN_FORCE(p) ALL_IN_FORCE_3 (p)
#endif

/* An entry is offered revision r. */
inline offer_revision (e, r)
{
#ifdef OLDER_ACCEPTED
  assert (r >= revision[e]);
  revision[e] = r
#else
  if
  :: r > revision[e] -> revision[e] = r
  :: else
  fi
#endif
}

proctype store ()
{
  byte p;
end:
  do
  :: atomic { store_up = !store_up }
     /* A write arrives, possibly late or as a duplicate. */
  :: atomic {
       store_up && (cas_sent[0] || cas_sent[1]) ->
       select (p : 0 .. N_PUBLISHERS - 1);
       if
#ifdef NO_CAS
       :: cas_sent[p] && !cas_applied[p] ->
          history = p_base_history[p] | (1 << p);
#else
       :: cas_sent[p] && store_revision == p_base[p] ->
          history = history | (1 << p);
#endif
          assert (p_state[p] != P_FAILED);
          assert (p_state[0] != P_ACCEPTED || CONTAINS (0));
          assert (p_state[1] != P_ACCEPTED || CONTAINS (1));
          store_revision++;
          last_change = p;
          cas_applied[p] = true
#ifndef NO_CAS
       :: cas_sent[p] && store_revision != p_base[p] -> cas_refused[p] = true
#endif
       :: else
       fi;
       p = 0
     }
  od
}

inline report_failed (p)
{
  assert (!CONTAINS (p));
  p_state[p] = P_FAILED
}

#ifdef NO_HISTORY
#define FOUND(p) (last_change == p)
#else
#define FOUND(p) CONTAINS (p)
#endif

proctype publisher (byte p)
{
  byte e;
end:
  do
     /* Reads the base revision, which may be outdated when the write arrives, and sends the write. */
  :: atomic {
       p_state[p] == P_IDLE && store_up ->
       p_base[p] = store_revision;
       p_base_history[p] = history;
       p_state[p] = P_SENT
     }
  :: atomic { p_state[p] == P_SENT && !cas_sent[p] -> cas_sent[p] = true }
     /* The answer arrives. */
  :: atomic {
       p_state[p] == P_SENT && cas_applied[p] ->
       p_revision[p] = p_base[p] + 1;
       p_state[p] = P_WRITTEN
     }
#ifdef CONFLICT_IS_FAILURE
  :: atomic { p_state[p] == P_SENT && cas_refused[p] -> report_failed (p) }
#endif
#ifdef NO_READBACK
  :: atomic { p_state[p] == P_SENT && cas_sent[p] -> report_failed (p) }
#endif
     /* The answer is lost or reports a conflict: reads back and searches for the change id. */
  :: atomic {
       p_state[p] == P_SENT && cas_sent[p] && store_up ->
       if
       :: FOUND (p) -> p_revision[p] = store_revision; p_state[p] = P_WRITTEN
#ifndef NO_CAS
          /* The store has a newer revision than the base, so the write can no longer take effect. */
       :: !FOUND (p) && store_revision != p_base[p] -> report_failed (p)
#endif
#ifdef READBACK_UNFENCED
       :: !FOUND (p) && store_revision == p_base[p] -> report_failed (p)
#endif
       :: else
       fi
     }
  :: atomic { p_state[p] == P_SENT && cas_sent[p] -> p_state[p] = P_UNKNOWN }
     /* Pushes the change to an entry, which confirms it. */
  :: atomic {
       p_state[p] == P_WRITTEN ->
       select (e : 0 .. N_ENTRIES - 1);
       if
       :: !confirmed[CONFIRM (p, e)] && !paused[e] ->
          if
          :: p_revision[p] > revision[e] -> revision[e] = p_revision[p]
          :: else
          fi;
          confirmed[CONFIRM (p, e)] = true
       :: else
       fi;
       e = 0
     }
  :: atomic {
#if defined(NO_HANDOVER)
       p_state[p] == P_WRITTEN ->
#elif defined(ACCEPT_ANY)
       p_state[p] == P_WRITTEN && COUNT (p) >= 1 ->
#else
       p_state[p] == P_WRITTEN && COUNT (p) >= N_ENTRIES - UNCONFIRMED ->
#endif
       assert (CONTAINS (p));
       p_state[p] = P_ACCEPTED
     }
  od
}

#if defined(START_FROM_ONE) || UNCONFIRMED == 0
#define HEARD_ENOUGH(e) (heard[e] != 0)
#else
/* At least two bits are set. */
#define HEARD_ENOUGH(e) ((heard[e] & (heard[e] - 1)) != 0)
#endif

#ifdef COUNT_STARTING
#define COUNTS_AS_CONTACT(q) true
#else
#define COUNTS_AS_CONTACT(q) ready[q]
#endif

inline exchange_with_peer (e, q)
{
  offer_revision (e, revision[q]);
  if
  :: ready[e] -> silent[e] = 0
  :: !ready[e] ->
     heard[e] = heard[e] | (1 << q);
     if
     :: HEARD_ENOUGH (e) -> ready[e] = true; silent[e] = 0; heard[e] = 0
     :: else
     fi
  fi
}

/* A confirmation from an instance that was replaced before the change was accepted does not count. */
inline discard_confirmation (p, e)
{
  if
  :: p_state[p] != P_ACCEPTED -> confirmed[CONFIRM (p, e)] = false
  :: else
  fi
}

proctype entry (byte e)
{
  byte q;
end:
  do
     /* A linearizable read of the store. */
  :: atomic {
       store_up && !paused[e] ->
       offer_revision (e, store_revision);
       ready[e] = true;
       heard[e] = 0;
       silent[e] = 0
     }
     /* A stale read, a late watch event or a late message from a peer does not count as contact. */
  :: atomic {
       !paused[e] && ready[e] && store_revision > 0 ->
       select (q : 0 .. 2);
       if
       :: q <= store_revision -> offer_revision (e, q)
       :: else
       fi;
       q = 0
     }
#ifdef WATCH_IS_CONTACT
  :: atomic { !paused[e] && ready[e] -> silent[e] = 0 }
#endif
     /* Exchanges digests with a peer, and takes its document if it is newer. */
  :: atomic {
       !paused[e] ->
       select (q : 0 .. N_ENTRIES - 1);
       if
       :: q != e && !paused[q] && COUNTS_AS_CONTACT (q) -> exchange_with_peer (e, q)
       :: else
       fi;
       q = 0
     }
#ifdef PAUSE
  :: atomic { paused[e] = !paused[e] }
#endif
     /* The instance is replaced; its successor starts without any state. */
  :: atomic {
       replacements < REPLACEMENTS ->
       replacements++;
       ready[e] = false;
       revision[e] = 0;
       silent[e] = 0;
       heard[e] = 0;
       paused[e] = false;
#ifndef NO_CONFIRM_INCARNATION
       discard_confirmation (0, e);
       discard_confirmation (1, e)
#endif
     }
  od
}

inline count_silence (e)
{
  if
#ifdef PAUSE_HIDES_TIME
  :: paused[e]
#endif
  :: silent[e] <= ISOLATION_LIMIT -> silent[e]++
  :: else
  fi
}

inline count_age (p)
{
  if
  :: p_state[p] == P_ACCEPTED && age[p] < IN_FORCE_BOUND -> age[p]++
  :: else
  fi
}

proctype clock ()
{
end:
  do
  :: atomic {
       count_silence (0);
       count_silence (1);
       count_silence (2);
#if N_ENTRIES == 4
       count_silence (3);
#endif
       count_age (0);
       count_age (1)
     }
  :: atomic { !ALL_IN_FORCE (0) || !ALL_IN_FORCE (1) -> assert (ALL_IN_FORCE (0) && ALL_IN_FORCE (1)) }
  od
}

#ifdef REACH_ACCEPT_BOTH
#define WITNESS (p_state[0] == P_ACCEPTED && p_state[1] == P_ACCEPTED && revision[2] == 2)
#endif
#ifdef REACH_FAILED
#define WITNESS (p_state[0] == P_ACCEPTED && p_state[1] == P_FAILED)
#endif
#ifdef REACH_START
#define WITNESS (p_state[0] == P_ACCEPTED && !store_up && replacements == 1 && ready[0] && silent[0] == 0 && revision[0] == 1 && revision[2] == 0)
#endif
#ifdef REACH_ISOLATED
#define WITNESS (age[0] == IN_FORCE_BOUND && !ADMITS (2) && ADMITS (0) && ADMITS (1) && revision[2] == 0)
#endif

bool witness_reached;

init
{
  atomic {
    run store ();
    run publisher (0);
#if N_PUBLISHERS == 2
    run publisher (1);
#endif
    run entry (0);
    run entry (1);
    run entry (2);
#if N_ENTRIES == 4
    run entry (3);
#endif
    run clock ()
  }
#ifdef WITNESS
end:
  do
  :: atomic { WITNESS -> witness_reached = true; assert (!witness_reached) }
  od
#endif
}
