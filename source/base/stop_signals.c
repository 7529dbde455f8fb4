#include "bilberrytray/base/stop_signals.h"

#include <signal.h>
#include <stdatomic.h>

#include "bilberrytray/base/event_log.h"

enum
{
  WAKE_SIGNAL = SIGUSR2,
};

static atomic_bool wait_ended;

static void
fill_signals (sigset_t *signals)
{
  sigemptyset (signals);
  sigaddset (signals, SIGTERM);
  sigaddset (signals, SIGINT);
  sigaddset (signals, SIGHUP);
  sigaddset (signals, WAKE_SIGNAL);
}

void
bt_block_stop_signals (void)
{
  sigset_t signals;

  fill_signals (&signals);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  signal (SIGPIPE, SIG_IGN);
}

bool
bt_wait_stop_signal (bt_context_t *ctx)
{
  sigset_t signals;

  fill_signals (&signals);
  for (;;)
    switch (sigwaitinfo (&signals, NULL))
      {
      case SIGTERM:
      case SIGINT:
        return true;
      case SIGHUP:
        bt_log_event (ctx, BT_LOG_INFO, "reload", "{s:s}", "message",
                      "Flags are read only at startup; nothing changes.");
        break;
      case WAKE_SIGNAL:
        /* Another process may send the same signal, and a pending one hides who sent the next. */
        if (atomic_exchange (&wait_ended, false))
          return false;
        break;
      default:
        break;
      }
}

void
bt_end_stop_wait (pthread_t thread)
{
  atomic_store (&wait_ended, true);
  pthread_kill (thread, WAKE_SIGNAL);
}
