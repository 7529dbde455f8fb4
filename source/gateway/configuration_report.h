#ifndef BILBERRYTRAY_SOURCE_GATEWAY_CONFIGURATION_REPORT_H
#define BILBERRYTRAY_SOURCE_GATEWAY_CONFIGURATION_REPORT_H

/** @file
 * What operators see of the configuration that an entry instance has read: log lines and a metric.
 */

#include "bilberrytray/base/findings.h"
#include "bilberrytray/config/declarations.h"

/** Logs the findings of a configuration at the store's revision @p revision. @p rejected: nothing
 * of it can be used. Otherwise the parts that they name are left out. */
void bt_report_configuration_findings (bt_context_t *ctx,
                                       const bt_findings_t *findings,
                                       bool rejected,
                                       int64_t revision);

/** Reports the configuration that is in force from now on; NULL: none. @p revision is the store's.
 */
void bt_report_configuration (bt_context_t *ctx,
                              const bt_declarations_t *declarations,
                              int64_t revision);

#endif
