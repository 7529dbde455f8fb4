#include "signal_stack.h"

#include <signal.h>
#include <stdlib.h>

enum
{
  SIGNAL_STACK_BYTES = 32 * 1024,
};

void *
bt_open_signal_stack (void)
{
  stack_t stack = { .ss_size = SIGNAL_STACK_BYTES };
  stack_t current;

  if (sigaltstack (NULL, &current) != 0 || (current.ss_flags & SS_DISABLE) == 0)
    return NULL;
  stack.ss_sp = malloc (SIGNAL_STACK_BYTES);
  if (stack.ss_sp != NULL && sigaltstack (&stack, NULL) == 0)
    return stack.ss_sp;
  free (stack.ss_sp);
  return NULL;
}

void
bt_close_signal_stack (void *memory)
{
  const stack_t none = { .ss_flags = SS_DISABLE };

  if (memory == NULL)
    return;
  sigaltstack (&none, NULL);
  free (memory);
}
