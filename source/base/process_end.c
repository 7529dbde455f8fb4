#include "bilberrytray/base/process_end.h"

#include <signal.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <unistd.h>

#include "bilberrytray/base/thread.h"
#include "context_private.h"
#include "signal_stack.h"

enum
{
  LINE_BYTES = 1024,
  MESSAGE_BYTES = 256,
  SUBJECT_BYTES = 200,
};

/** A signal that ends a process, and its name in the log. */
typedef struct fatal_signal
{
  int number;
  const char *name;
} fatal_signal_t;

/* Not SIGSYS: a platform that filters system calls answers them by it. */
static const fatal_signal_t fatal_signals[] = {
  { SIGSEGV, "SIGSEGV" }, { SIGBUS, "SIGBUS" },   { SIGFPE, "SIGFPE" },
  { SIGILL, "SIGILL" },   { SIGABRT, "SIGABRT" },
};

static _Thread_local const char *thread_subject;
static _Thread_local volatile sig_atomic_t handling;
static bt_context_t *context;
static atomic_flag ending = ATOMIC_FLAG_INIT;
static char end_message[MESSAGE_BYTES];

void
bt_set_thread_subject (const char *subject)
{
  thread_subject = subject;
}

static const char *
name_signal (int number)
{
  for (size_t i = 0; i < sizeof fatal_signals / sizeof fatal_signals[0]; i++)
    if (fatal_signals[i].number == number)
      return fatal_signals[i].name;
  return "";
}

/* Copies a text without what JSON would have to escape. */
static void
copy_plain (char *target, size_t capacity, const char *text)
{
  size_t used = 0;

  for (; text != NULL && *text != '\0' && used + 1 < capacity; text++)
    target[used++] = *text < ' ' || *text == '"' || *text == '\\' ? '?' : *text;
  target[used] = '\0';
}

/* Memory may be damaged or used up, so nothing is allocated and no lock is taken. */
static void
write_last_line (int number, const siginfo_t *info)
{
  char line[LINE_BYTES];
  char stamp[BT_LOG_STAMP_BYTES];
  char subject[SUBJECT_BYTES];
  char message[MESSAGE_BYTES];
  struct rusage usage = { 0 };
  bt_log_stream_t stream = { .fd = context->events.fd };
  int used;

  bt_format_log_stamp (stamp);
  copy_plain (subject, sizeof subject, thread_subject);
  copy_plain (message, sizeof message,
              number == SIGSEGV && bt_is_at_stack_end (info->si_addr) ? "The stack is full."
                                                                      : end_message);
  getrusage (RUSAGE_SELF, &usage);
  used = snprintf (line, sizeof line,
                   "%s{\"at\":\"%s\",\"level\":\"error\",\"instance\":\"%s\",\"event\":"
                   "\"process-ended\",\"signal\":\"%s\",\"thread\":\"%s\",\"subject\":\"%s\","
                   "\"message\":\"%s\",\"max_memory_kb\":%ld}\n",
                   context->events.pending_bytes > 0 ? "\n" : "", stamp, context->log_name,
                   name_signal (number), bt_get_thread_name (), subject, message, usage.ru_maxrss);
  bt_write_log_line (&stream, line, (size_t)used);
}

/* Only the first thread writes; another that fails meanwhile waits for the end of the process. If
 * the writing itself fails, the process ends without the line. */
static void
handle_fatal_signal (int number, siginfo_t *info, void *machine)
{
  (void)machine;
  if (handling == 0)
    {
      while (atomic_flag_test_and_set (&ending))
        pause ();
      handling = 1;
      write_last_line (number, info);
    }
  signal (number, SIG_DFL);
  raise (number);
}

void
bt_install_end_handlers (bt_context_t *ctx)
{
  struct sigaction action = { .sa_sigaction = handle_fatal_signal,
                              .sa_flags = SA_SIGINFO | SA_ONSTACK };

  context = ctx;
  bt_open_signal_stack ();
  for (size_t i = 0; i < sizeof fatal_signals / sizeof fatal_signals[0]; i++)
    {
      struct sigaction present;

      /* A sanitizer's handler reports more. */
      if (sigaction (fatal_signals[i].number, NULL, &present) == 0
          && (present.sa_flags & SA_SIGINFO) == 0 && present.sa_handler == SIG_DFL)
        sigaction (fatal_signals[i].number, &action, NULL);
    }
}

void
bt_end_process (bt_context_t *ctx, const char *format, ...)
{
  va_list arguments;

  (void)ctx;
  va_start (arguments, format);
  vsnprintf (end_message, sizeof end_message, format, arguments);
  va_end (arguments);
  abort ();
}
