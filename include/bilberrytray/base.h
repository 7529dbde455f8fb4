#ifndef BILBERRYTRAY_BASE_H
#define BILBERRYTRAY_BASE_H

/** @file
 * Includes the commonly used headers of the base package.
 */

#include "bilberrytray/base/address.h"
#include "bilberrytray/base/clock.h"
#include "bilberrytray/base/context.h"
#include "bilberrytray/base/counters.h"
#include "bilberrytray/base/error.h"
#include "bilberrytray/base/findings.h"
#include "bilberrytray/base/log.h"
#include "bilberrytray/base/queue.h"
#include "bilberrytray/base/random.h"
#include "bilberrytray/base/settings.h"

#endif
