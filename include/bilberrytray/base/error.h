#ifndef BILBERRYTRAY_BASE_ERROR_H
#define BILBERRYTRAY_BASE_ERROR_H

/** @file
 * The error struct that functions fill in when they fail.
 */

#include <stdbool.h>

/** Kind of a failure. */
typedef enum bt_error_code
{
  BT_ERROR_NONE = 0,
  BT_ERROR_USAGE,     /**< The command line or the settings are invalid. */
  BT_ERROR_FORMAT,    /**< Input is malformed or out of range. */
  BT_ERROR_TOO_LARGE, /**< Input exceeds a limit. */
  BT_ERROR_CLOSED,    /**< The peer closed the connection. */
  BT_ERROR_TIMEOUT,   /**< No answer within the time limit; the effect is unknown. */
  BT_ERROR_SYSTEM,    /**< A system call failed; the message contains its error text. */
  BT_ERROR_REFUSED,   /**< The peer refused: not authorized, wrong instance or fenced off. */
  BT_ERROR_CONFLICT,  /**< A compare-and-swap found a different value. */
  BT_ERROR_NOT_FOUND, /**< The named object does not exist. */
} bt_error_code_t;

/** Size of the message buffer of an error, including the terminating zero, in bytes. */
#define BT_ERROR_MESSAGE_BYTES 512

/** Describes a failure. Zero-initialise it. It keeps the first failure that is set. */
typedef struct bt_error
{
  bt_error_code_t code;
  char message[BT_ERROR_MESSAGE_BYTES];
} bt_error_t;

/** Sets @p error, which may be NULL, unless it already holds a failure. Always returns false, so
 * that a function can end with `return bt_set_error (...)`. */
bool bt_set_error (bt_error_t *error, bt_error_code_t code, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/** Resets @p error so that it holds no failure. */
void bt_clear_error (bt_error_t *error);

/** Returns the name of an error code for logs and metrics. */
const char *bt_name_error_code (bt_error_code_t code);

#endif
