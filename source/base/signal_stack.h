#ifndef BILBERRYTRAY_SOURCE_BASE_SIGNAL_STACK_H
#define BILBERRYTRAY_SOURCE_BASE_SIGNAL_STACK_H

/** @file
 * Stacks for the handlers of fatal signals: a thread whose own stack is full can't run one on it.
 */

#include <stdbool.h>

/** Gives the calling thread a signal stack, unless it has one. Returns NULL if it got none. */
void *bt_open_signal_stack (void);

/** Takes back and frees what bt_open_signal_stack returned to this thread; NULL: does nothing. */
void bt_close_signal_stack (void *memory);

#endif
