/*
 * A store that is restored from a backup: its state goes back, its revisions are assigned again, and its
 * era rises by one.
 *
 * Default: the configuration. The operator writes versions, and writes lost ones again in any order that
 * increases. Two entries learn of them by full reads, by watches and from each other, at any time, so each
 * may be cut off or frozen for any time. Checked: after a contact with the store an entry has in force what
 * the store had, or a later version; what an entry has in force never goes back.
 *
 * LEASE: the lease of the leader with its fencing number. Time is counted in ticks. A call may fail, or be
 * executed without an answer, and an instance may be frozen for any time. Checked: at most one instance
 * holds the lease by its own clock, and each fencing number is above all earlier ones.
 *
 * Options: RESTORES (number of restorations).
 */

#ifndef RESTORES
#define RESTORES 2
#endif

#define N 2

byte era = 1;
byte restores;

#ifndef LEASE

#define MAX_VERSION 3
#define MAX_REVISION 5

typedef state_t
{
  byte revision;
  byte version;                 /* of the configuration */
  byte changed;                 /* revision of its last change */
}

state_t store, backup;
byte confirmed;                 /* highest version that the store has confirmed */

typedef entry_t
{
  byte era;                     /* position of its copy */
  byte revision;
  byte shown;                   /* version that the store shows, by this copy */
  byte in_force;
}

entry_t entry[N];

inline write (v)
{
  store.revision++;
  store.version = v;
  store.changed = store.revision;
  if
  :: v > confirmed -> confirmed = v
  :: else
  fi
}

proctype operator ()
{
  byte v;

end:
  do
  :: atomic { store.revision < MAX_REVISION && confirmed < MAX_VERSION -> write (confirmed + 1) }
  :: atomic { store.revision < MAX_REVISION && store.version < confirmed ->
       select (v : store.version + 1 .. confirmed);
       write (v);
       v = 0 }
  :: atomic { store.revision < MAX_REVISION -> store.revision++ } /* another item changes */
  :: atomic { backup.revision = store.revision;
       backup.version = store.version;
       backup.changed = store.changed }
  :: atomic { restores < RESTORES ->
       restores++;
       store.revision = backup.revision;
       store.version = backup.version;
       store.changed = backup.changed;
       era++ }
  od
}

/* Takes over a position with the version that is shown there. */
inline take (e, e_era, e_revision, e_shown)
{
  entry[e].era = e_era;
  entry[e].revision = e_revision;
  entry[e].shown = e_shown;
  if
#ifdef NO_RETENTION
  :: true -> assert (e_shown >= entry[e].in_force); entry[e].in_force = e_shown
#else
  :: e_shown >= entry[e].in_force -> entry[e].in_force = e_shown
  :: else
#endif
  fi
}

#ifdef REVISION_ONLY
#define NOT_BEFORE(a_era, a_revision, b_era, b_revision) (a_revision >= b_revision)
#else
#define NOT_BEFORE(a_era, a_revision, b_era, b_revision) \
  (a_era > b_era || (a_era == b_era && a_revision >= b_revision))
#endif

inline read (e)
{
  if
  :: NOT_BEFORE (era, store.revision, entry[e].era, entry[e].revision) ->
       take (e, era, store.revision, store.version)
  :: else
  fi
}

/* The watch begins at the revision of the copy. It is refused if the store does not have that revision,
 * and reports only later changes. */
inline watch (e)
{
  if
#ifdef WATCH_OVER_ERAS
  :: store.revision < entry[e].revision -> read (e)
  :: store.revision >= entry[e].revision && store.changed > entry[e].revision ->
       take (e, era, store.revision, store.version)
  :: store.revision >= entry[e].revision && store.changed <= entry[e].revision ->
       entry[e].era = era; entry[e].revision = store.revision
#else
  :: era != entry[e].era -> read (e)
  :: era == entry[e].era && store.changed > entry[e].revision ->
       take (e, era, store.revision, store.version)
  :: era == entry[e].era && store.changed <= entry[e].revision -> entry[e].revision = store.revision
#endif
  fi
}

/* A peer sends the changes since the position of the follower, or all items if that is of another era. */
inline follow (e, o)
{
  if
  :: entry[o].era == entry[e].era && entry[o].revision <= entry[e].revision
  :: entry[o].era == entry[e].era && entry[o].revision > entry[e].revision ->
       take (e, entry[o].era, entry[o].revision, entry[o].shown)
#ifdef PEER_OVER_ERAS
  :: entry[o].era != entry[e].era && entry[o].revision > entry[e].revision ->
       take (e, entry[o].era, entry[o].revision, entry[o].shown)
  :: entry[o].era != entry[e].era && entry[o].revision <= entry[e].revision
#else
  :: entry[o].era > entry[e].era ->
       take (e, entry[o].era, entry[o].revision, entry[o].shown)
  :: entry[o].era < entry[e].era
#endif
  fi;
#ifndef NO_RETENTION
  /* What the peer retains goes with a whole update. */
  if
  :: entry[o].in_force > entry[o].shown && entry[o].in_force > entry[e].in_force ->
       entry[e].in_force = entry[o].in_force
  :: else
  fi
#endif
}

proctype entry_instance (byte e)
{
end:
  do
  :: atomic { read (e); assert (entry[e].in_force >= store.version) }
  :: atomic { entry[e].era > 0 -> watch (e); assert (entry[e].in_force >= store.version) }
  :: atomic { entry[1 - e].era >= entry[e].era && entry[1 - e].era > 0 ->
       follow (e, 1 - e);
       assert (entry[e].in_force >= entry[1 - e].shown) }
#ifdef REACH_RETAINED
  :: atomic { entry[e].in_force > store.version && entry[e].era == era -> assert (!true) }
#endif
  od
}

init
{
  atomic { run operator (); run entry_instance (0); run entry_instance (1) }
}

#else

#define TTL 2
#define NUMBERS_PER_ERA 8
#define MAX_TICKS 9
#define NOBODY 255

typedef state_t
{
  byte holder;
  byte lease_left;              /* ticks until the lease ends */
  byte fence;                   /* number of the latest holder */
  byte fence_era;               /* era in which it acquired the lease */
}

typedef instance_t
{
  byte held_left;               /* ticks for which it holds the lease by its own clock */
  bool believes;                /* it would renew */
  byte lease_era;
  byte seen_era;
  byte seen_left;               /* ticks until one TTL has passed since it first saw the era */
}

state_t store, backup;
instance_t instance[N];
byte highest;
byte ticks;

inline end_tick (i)
{
  if
  :: instance[i].held_left > 0 -> instance[i].held_left--
  :: else
  fi;
  if
  :: instance[i].seen_left > 0 -> instance[i].seen_left--
  :: else
  fi
}

proctype environment ()
{
end:
  do
  :: atomic { ticks < MAX_TICKS ->
       ticks++;
       if
       :: store.lease_left > 0 -> store.lease_left--
       :: else
       fi;
       if
       :: store.lease_left == 0 -> store.holder = NOBODY
       :: else
       fi;
       end_tick (0);
       end_tick (1) }
  :: atomic { backup.holder = store.holder;
       backup.lease_left = store.lease_left;
       backup.fence = store.fence;
       backup.fence_era = store.fence_era }
  :: atomic { restores < RESTORES ->
       restores++;
       store.holder = backup.holder;
       store.fence = backup.fence;
       store.fence_era = backup.fence_era;
       store.lease_left = (backup.holder == NOBODY -> 0 : TTL);
       era++ }
  od
}

inline see_era (i)
{
  if
  :: instance[i].seen_era != era -> instance[i].seen_era = era; instance[i].seen_left = TTL
  :: else
  fi
}

#ifdef NO_WAIT
#define MAY_ACQUIRE(i) (true)
#else
#ifdef HELD_EVER
#define HELD(i) (instance[i].lease_era > 0)
#else
#define HELD(i) (instance[i].held_left > 0)
#endif
#define MAY_ACQUIRE(i) (store.fence_era == era || HELD (i) || instance[i].seen_left == 0)
#endif

#ifdef NUMBER_ONLY
#define FIRST_NUMBER 0
#else
#define FIRST_NUMBER (era * NUMBERS_PER_ERA)
#endif

#ifdef RENEW_OVER_ERAS
#define SAME_ERA(i) (true)
#else
#define SAME_ERA(i) (instance[i].lease_era == era)
#endif

/* The lease is acquired in one step: the transaction compares both keys and the era. */
inline acquire (i)
{
  see_era (i);
  if
  :: store.holder == NOBODY && MAY_ACQUIRE (i) ->
       store.holder = i;
       store.lease_left = TTL;
       store.fence = (store.fence + 1 > FIRST_NUMBER -> store.fence + 1 : FIRST_NUMBER);
       store.fence_era = era;
       if
       :: true -> /* the answer arrives */
            assert (store.fence > highest);
            highest = store.fence;
            instance[i].held_left = TTL;
            instance[i].believes = true;
            instance[i].lease_era = era
       :: true -> highest = store.fence /* it is lost */
       fi
  :: else
  fi
}

inline renew (i)
{
  see_era (i);
  if
  :: !SAME_ERA (i) -> instance[i].believes = false
  :: SAME_ERA (i) && store.holder == i -> store.lease_left = TTL; instance[i].held_left = TTL
  :: SAME_ERA (i) && store.holder != i -> instance[i].believes = false; instance[i].held_left = 0
  fi
}

proctype candidate (byte i)
{
end:
  do
  :: atomic { instance[i].believes -> renew (i) }
  :: atomic { !instance[i].believes -> acquire (i) }
#ifdef REACH_SECOND
  :: atomic { restores == RESTORES && instance[i].held_left > 0 && instance[i].lease_era == era ->
       assert (!true) }
#endif
  od
}

proctype observer ()
{
  assert (!(instance[0].held_left > 0 && instance[1].held_left > 0))
}

init
{
  atomic
  {
    store.holder = NOBODY;
    backup.holder = NOBODY;
    run environment ();
    run candidate (0);
    run candidate (1);
    run observer ()
  }
}

#endif
