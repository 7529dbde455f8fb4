/*
 * Configuration: one document in the key-value service, publishers that race, three or four entries.
 *
 * Time is a count of ticks. Within a tick every exchange may happen or not, so an entry may be cut off
 * from the service, from peers or from both for any time, in one direction or in both; an entry that is
 * paused does nothing. A write once sent stays under way: the service may apply it late or see it twice.
 *
 * An entry is in contact when it has read the service, or has heard a ready peer, and then has what was
 * current there. One number, UNCONFIRMED (u), ties three rules together: a change is accepted when all
 * listed entries but u have confirmed it; an entry without the service admits only while it hears u
 * others; an entry that starts without the service must have heard u + 1 others. Here u is 0 or 1; with
 * u = 0 the second rule is empty.
 *
 * Options: N_PUBLISHERS (1 or 2), N_ENTRIES (3 or 4), UNCONFIRMED (0 or 1), REPLACEMENTS (entries that may
 * be replaced, in all), PAUSE (entries may be paused).
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
#define LIMIT 1                 /* ticks without contact in which an entry still admits */
#define BOUND (LIMIT + 1)       /* ticks after accepted in which an older revision may be in use */
#define CONFIRM(p, e) ((p) * N_ENTRIES + (e))

/* Publisher states. */
#define P_IDLE 0
#define P_SENT 1                /* the write is under way, or its answer was lost */
#define P_WRITTEN 2             /* the change is known to be in the service */
#define P_ACCEPTED 3
#define P_FAILED 4
#define P_UNKNOWN 5

/* Service. */
bool service_up = true;
byte service_revision;
byte history;                   /* bit p: the document contains the change of publisher p */
byte last_change = 255;         /* publisher of the last change */

/* Publishers. */
byte p_state[2];
byte p_base[2];
byte p_base_history[2];
byte p_revision[2];             /* a revision that contains the change */
bool cas_sent[2];
bool cas_refused[2];            /* the service has answered a write with a conflict */
bool cas_applied[2];
bool confirmed[8];              /* entry e has said that the change is in force */

/* Entries. */
bool ready[N_ENTRIES] = true;
byte revision[N_ENTRIES];
byte silent[N_ENTRIES];         /* ticks since the last contact */
byte heard[N_ENTRIES];          /* start only: bit q, entry q has been heard */
bool paused[N_ENTRIES];
byte replacements;

/* Ghost state. */
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
#define ADMITS(e) (ready[e] && !paused[e] && silent[e] <= LIMIT)
#endif

/* Accepted: the revision is in force wherever requests are admitted, after the bound. */
#define IN_FORCE(p, e) (p_state[p] != P_ACCEPTED || age[p] < BOUND || !ADMITS (e) || revision[e] >= p_revision[p])
#define ALL_IN_FORCE_3(p) (IN_FORCE (p, 0) && IN_FORCE (p, 1) && IN_FORCE (p, 2))
#if N_ENTRIES == 4
#define ALL_IN_FORCE(p) (ALL_IN_FORCE_3 (p) && IN_FORCE (p, 3))
#else
#define ALL_IN_FORCE(p) ALL_IN_FORCE_3 (p)
#endif

/* An entry is offered revision r. */
inline offer (e, r)
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

proctype service ()
{
  byte p;
end:
  do
  :: atomic { service_up = !service_up }
     /* A write arrives, perhaps late or again. */
  :: atomic {
       service_up && (cas_sent[0] || cas_sent[1]) ->
       select (p : 0 .. N_PUBLISHERS - 1);
       if
#ifdef NO_CAS
       :: cas_sent[p] && !cas_applied[p] ->
          history = p_base_history[p] | (1 << p);
#else
       :: cas_sent[p] && service_revision == p_base[p] ->
          history = history | (1 << p);
#endif
          assert (p_state[p] != P_FAILED);
          assert (p_state[0] != P_ACCEPTED || CONTAINS (0));
          assert (p_state[1] != P_ACCEPTED || CONTAINS (1));
          service_revision++;
          last_change = p;
          cas_applied[p] = true
#ifndef NO_CAS
       :: cas_sent[p] && service_revision != p_base[p] -> cas_refused[p] = true
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
     /* Read the base, perhaps a stale one, and send the write. */
  :: atomic {
       p_state[p] == P_IDLE && service_up ->
       p_base[p] = service_revision;
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
     /* The answer is lost or says conflict: read back and look for the change id. */
  :: atomic {
       p_state[p] == P_SENT && cas_sent[p] && service_up ->
       if
       :: FOUND (p) -> p_revision[p] = service_revision; p_state[p] = P_WRITTEN
#ifndef NO_CAS
          /* The base has moved, so the write can no longer take effect. */
       :: !FOUND (p) && service_revision != p_base[p] -> report_failed (p)
#endif
#ifdef READBACK_UNFENCED
       :: !FOUND (p) && service_revision == p_base[p] -> report_failed (p)
#endif
       :: else
       fi
     }
  :: atomic { p_state[p] == P_SENT && cas_sent[p] -> p_state[p] = P_UNKNOWN }
     /* Hand the change to an entry; the entry confirms. */
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
#define COUNTS(q) true
#else
#define COUNTS(q) ready[q]
#endif

inline hear (e, q)
{
  offer (e, revision[q]);
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

/* A confirmation of an instance that was replaced before the change was accepted does not count. */
inline forget_confirm (p, e)
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
     /* A plain, linearizable read of the service. */
  :: atomic {
       service_up && !paused[e] ->
       offer (e, service_revision);
       ready[e] = true;
       heard[e] = 0;
       silent[e] = 0
     }
     /* A stale read, a late watch event, or a late message of a peer: no contact. */
  :: atomic {
       !paused[e] && ready[e] && service_revision > 0 ->
       select (q : 0 .. 2);
       if
       :: q <= service_revision -> offer (e, q)
       :: else
       fi;
       q = 0
     }
#ifdef WATCH_IS_CONTACT
  :: atomic { !paused[e] && ready[e] -> silent[e] = 0 }
#endif
     /* A digest exchange with a peer, and the document if it is newer there. */
  :: atomic {
       !paused[e] ->
       select (q : 0 .. N_ENTRIES - 1);
       if
       :: q != e && !paused[q] && COUNTS (q) -> hear (e, q)
       :: else
       fi;
       q = 0
     }
#ifdef PAUSE
  :: atomic { paused[e] = !paused[e] }
#endif
     /* The instance is replaced; its successor knows nothing. */
  :: atomic {
       replacements < REPLACEMENTS ->
       replacements++;
       ready[e] = false;
       revision[e] = 0;
       silent[e] = 0;
       heard[e] = 0;
       paused[e] = false;
#ifndef NO_CONFIRM_INCARNATION
       forget_confirm (0, e);
       forget_confirm (1, e)
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
  :: silent[e] <= LIMIT -> silent[e]++
  :: else
  fi
}

inline count_age (p)
{
  if
  :: p_state[p] == P_ACCEPTED && age[p] < BOUND -> age[p]++
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
#define WITNESS (p_state[0] == P_ACCEPTED && !service_up && replacements == 1 && ready[0] && silent[0] == 0 && revision[0] == 1 && revision[2] == 0)
#endif
#ifdef REACH_ISOLATED
#define WITNESS (age[0] == BOUND && !ADMITS (2) && ADMITS (0) && ADMITS (1) && revision[2] == 0)
#endif

bool witness_reached;

init
{
  atomic {
    run service ();
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
