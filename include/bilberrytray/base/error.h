#ifndef BILBERRYTRAY_BASE_ERROR_H
#define BILBERRYTRAY_BASE_ERROR_H

/** @file
 * The error struct that is passed down to each call that can fail.
 */

#include <stdbool.h>

/** What kind of failure a call met. */
typedef enum bt_error_code
{
  BT_ERROR_NONE = 0,
  BT_ERROR_USAGE,     /**< The caller's words or settings are wrong. */
  BT_ERROR_FORMAT,    /**< Input is malformed or out of range. */
  BT_ERROR_TOO_LARGE, /**< Input is over a stated limit. */
  BT_ERROR_CLOSED,    /**< The other end closed the connection. */
  BT_ERROR_TIMEOUT,   /**< No answer within the limit; the effect is not known. */
  BT_ERROR_SYSTEM,    /**< A system call failed; the message holds its text. */
  BT_ERROR_REFUSED,   /**< The other end refused: not authorized, wrong instance or fenced off. */
  BT_ERROR_CONFLICT,  /**< A compare-and-swap met another value. */
  BT_ERROR_NOT_FOUND, /**< The thing named does not exist. */
} bt_error_code_t;

/** Longest message an error holds, with its closing zero, in bytes. */
#define BT_ERROR_MESSAGE_BYTES 512

/** One failure. Zero-initialise it; the first failure set wins. */
typedef struct bt_error
{
  bt_error_code_t code;
  char message[BT_ERROR_MESSAGE_BYTES];
} bt_error_t;

/** Sets @p error, which may be NULL, unless it already holds a failure. Always returns false, so
 * that a failing function can `return bt_set_error (...)`. */
bool bt_set_error (bt_error_t *error, bt_error_code_t code, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/** Makes @p error hold no failure. */
void bt_clear_error (bt_error_t *error);

/** The name of an error code, for logs. */
const char *bt_name_error_code (bt_error_code_t code);

#endif
