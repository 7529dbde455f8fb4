#include "bilberrytray/base/findings.h"

#include <stdarg.h>

enum
{
  MESSAGE_BYTES = 512,
  /* Findings beyond these are only counted. */
  MAX_KEPT = 1000,
};

struct bt_findings
{
  bt_finding_t *items;
  int32_t count; /* of the items */
  int32_t capacity;
  int32_t total; /* of all findings */
};

bt_findings_t *
bt_new_findings (bt_context_t *ctx)
{
  return bt_calloc (ctx, 1, sizeof (bt_findings_t));
}

void
bt_drop_findings (bt_context_t *ctx, bt_findings_t *findings)
{
  if (findings == NULL)
    return;
  for (int32_t i = 0; i < findings->count; i++)
    {
      bt_free (ctx, (void *)findings->items[i].file);
      bt_free (ctx, (void *)findings->items[i].path);
      bt_free (ctx, (void *)findings->items[i].message);
    }
  bt_free (ctx, findings->items);
  bt_free (ctx, findings);
}

void
bt_add_finding (bt_context_t *ctx,
                bt_findings_t *findings,
                const char *file,
                int32_t line,
                const char *path,
                const char *format,
                ...)
{
  char message[MESSAGE_BYTES];
  bt_finding_t *finding;
  va_list arguments;

  findings->total++;
  if (findings->count == MAX_KEPT)
    return;
  va_start (arguments, format);
  vsnprintf (message, sizeof message, format, arguments);
  va_end (arguments);
  if (findings->count == findings->capacity)
    {
      findings->capacity = findings->capacity * 2 + 4;
      findings->items =
          bt_realloc (ctx, findings->items, (size_t)findings->capacity, sizeof *findings->items);
    }
  finding = &findings->items[findings->count++];
  finding->file = bt_strdup (ctx, file);
  finding->line = line;
  finding->path = bt_strdup (ctx, path == NULL ? "" : path);
  finding->message = bt_strdup (ctx, message);
}

int32_t
bt_count_findings (const bt_findings_t *findings)
{
  return findings->total;
}

const bt_finding_t *
bt_get_finding (const bt_findings_t *findings, int32_t index)
{
  return &findings->items[index];
}

void
bt_print_findings (const bt_findings_t *findings, FILE *out)
{
  for (int32_t i = 0; i < findings->count; i++)
    {
      const bt_finding_t *finding = &findings->items[i];

      fputs (finding->file, out);
      if (finding->line > 0)
        fprintf (out, ":%d", finding->line);
      if (finding->path[0] != '\0')
        fprintf (out, ": %s", finding->path);
      fprintf (out, ": %s\n", finding->message);
    }
  if (findings->total > findings->count)
    fprintf (out, "%d more findings are not shown.\n", (int)(findings->total - findings->count));
}
