#ifndef BILBERRYTRAY_CONFIG_CONTENTION_H
#define BILBERRYTRAY_CONFIG_CONTENTION_H

/** @file
 * Which apps have callers that compete: their operators have stated that some requests go first.
 */

#include "bilberrytray/config/declarations.h"

/** Returns true if rules of the app @p app, an index into the declared apps, name different
 * priorities. A rule without a priority has the normal one. */
bool bt_is_app_contended (const bt_declarations_t *declarations, int32_t app);

#endif
