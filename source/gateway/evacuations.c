#include "evacuations.h"

#include <string.h>

#include "bilberrytray/base/counters.h"
#include "bilberrytray/base/event_log.h"

bool
bt_add_evacuation (bt_context_t *ctx, bt_evacuations_t *evacuations, const char *domain)
{
  if (domain[0] == '\0' || strlen (domain) >= BT_NAME_BYTES)
    return false;
  if (bt_is_domain_evacuated (evacuations, domain))
    return true;
  evacuations->domains = bt_realloc (ctx, evacuations->domains, (size_t)evacuations->count + 1,
                                     sizeof *evacuations->domains);
  bt_copy_name (evacuations->domains[evacuations->count++], domain);
  return true;
}

bool
bt_is_domain_evacuated (const bt_evacuations_t *evacuations, const char *domain)
{
  for (int32_t i = 0; i < evacuations->count; i++)
    if (strcmp (evacuations->domains[i], domain) == 0)
      return true;
  return false;
}

void
bt_clear_evacuations (bt_context_t *ctx, bt_evacuations_t *evacuations)
{
  bt_free (ctx, evacuations->domains);
  memset (evacuations, 0, sizeof *evacuations);
}

/* Logs the domains of one list that are missing in the other. */
static void
log_missing (bt_context_t *ctx,
             const char *event,
             const bt_evacuations_t *list,
             const bt_evacuations_t *other,
             int64_t revision)
{
  for (int32_t i = 0; i < list->count; i++)
    if (!bt_is_domain_evacuated (other, list->domains[i]))
      bt_log_event (ctx, BT_LOG_WARNING, event, "{s:s, s:I}", "failure_domain", list->domains[i],
                    "revision", (json_int_t)revision);
}

void
bt_report_evacuations (bt_context_t *ctx,
                       const bt_evacuations_t *before,
                       const bt_evacuations_t *now,
                       int64_t revision)
{
  static const bt_evacuations_t none;
  const bt_evacuations_t *known = before == NULL ? &none : before;

  log_missing (ctx, "domain-evacuated", now, known, revision);
  log_missing (ctx, "domain-released", known, now, revision);
  bt_set_gauge (bt_find_counter (ctx, BT_GAUGE, "bilberry_evacuated_domains",
                                 "Failure domains whose endpoints get no requests.", NULL, NULL),
                now->count);
}
