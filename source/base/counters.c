#include "bilberrytray/base/counters.h"

#include <ck_pr.h>
#include <pthread.h>
#include <string.h>

struct bt_counter
{
  uint64_t value;
  bt_counter_kind_t kind;
  char *family;
  char *help;
  char *part;   /* suffix of a histogram counter's name; NULL for other kinds */
  char *labels; /* as printed between braces; NULL without labels */
  bt_counter_t *next;
};

struct bt_counters
{
  pthread_mutex_t lock; /**< Guards the list; values are updated without it. */
  bt_counter_t *first;
  bt_counter_t *last;
};

bt_counters_t *
bt_new_counters (bt_context_t *ctx)
{
  bt_counters_t *counters = bt_calloc (ctx, 1, sizeof *counters);

  pthread_mutex_init (&counters->lock, NULL);
  return counters;
}

void
bt_drop_counters (bt_context_t *ctx, bt_counters_t *counters)
{
  bt_counter_t *counter;

  if (counters == NULL)
    return;
  while ((counter = counters->first) != NULL)
    {
      counters->first = counter->next;
      bt_free (ctx, counter->family);
      bt_free (ctx, counter->help);
      bt_free (ctx, counter->part);
      bt_free (ctx, counter->labels);
      bt_free (ctx, counter);
    }
  pthread_mutex_destroy (&counters->lock);
  bt_free (ctx, counters);
}

static bool
equal_or_both_null (const char *left, const char *right)
{
  if (left == NULL || right == NULL)
    return left == right;
  return strcmp (left, right) == 0;
}

static bt_counter_t *
find_locked (bt_counters_t *counters, const char *family, const char *part, const char *labels)
{
  for (bt_counter_t *counter = counters->first; counter != NULL; counter = counter->next)
    if (equal_or_both_null (counter->family, family) && equal_or_both_null (counter->part, part)
        && equal_or_both_null (counter->labels, labels))
      return counter;
  return NULL;
}

static bt_counter_t *
append_locked (bt_context_t *ctx, bt_counters_t *counters)
{
  bt_counter_t *counter = bt_calloc (ctx, 1, sizeof *counter);

  if (counters->last == NULL)
    counters->first = counter;
  else
    counters->last->next = counter;
  counters->last = counter;
  return counter;
}

bt_counter_t *
bt_find_labelled_counter (bt_context_t *ctx,
                          bt_counter_kind_t kind,
                          const char *family,
                          const char *help,
                          const char *part,
                          const char *labels)
{
  bt_counters_t *counters = bt_get_counters (ctx);
  bt_counter_t *counter;

  pthread_mutex_lock (&counters->lock);
  counter = find_locked (counters, family, part, labels);
  if (counter == NULL)
    {
      counter = append_locked (ctx, counters);
      counter->kind = kind;
      counter->family = bt_strdup (ctx, family);
      counter->help = bt_strdup (ctx, help);
      counter->part = part == NULL ? NULL : bt_strdup (ctx, part);
      counter->labels = labels == NULL ? NULL : bt_strdup (ctx, labels);
    }
  pthread_mutex_unlock (&counters->lock);
  return counter;
}

bt_counter_t *
bt_find_counter (bt_context_t *ctx,
                 bt_counter_kind_t kind,
                 const char *family,
                 const char *help,
                 const char *label,
                 const char *value)
{
  char labels[BT_LABELS_BYTES];

  if (label == NULL)
    return bt_find_labelled_counter (ctx, kind, family, help, NULL, NULL);
  snprintf (labels, sizeof labels, "%s=\"%s\"", label, value);
  return bt_find_labelled_counter (ctx, kind, family, help, NULL, labels);
}

void
bt_add_counter (bt_counter_t *counter, int64_t amount)
{
  ck_pr_add_64 (&counter->value, (uint64_t)amount);
}

void
bt_set_gauge (bt_counter_t *counter, int64_t value)
{
  ck_pr_store_64 (&counter->value, (uint64_t)value);
}

int64_t
bt_read_counter (const bt_counter_t *counter)
{
  return (int64_t)ck_pr_load_64 (&counter->value);
}

static bool
is_first_of_family (const bt_counters_t *counters, const bt_counter_t *counter)
{
  for (const bt_counter_t *other = counters->first; other != counter; other = other->next)
    if (strcmp (other->family, counter->family) == 0)
      return false;
  return true;
}

static const char *
name_kind (bt_counter_kind_t kind)
{
  if (kind == BT_HISTOGRAM)
    return "histogram";
  return kind == BT_GAUGE ? "gauge" : "counter";
}

static void
print_value (const bt_counter_t *counter, FILE *out)
{
  fputs (counter->family, out);
  if (counter->part != NULL)
    fprintf (out, "_%s", counter->part);
  if (counter->labels != NULL)
    fprintf (out, "{%s}", counter->labels);
  fprintf (out, " %lld\n", (long long)bt_read_counter (counter));
}

static void
print_family (const bt_counter_t *first, FILE *out)
{
  fprintf (out, "# HELP %s %s\n", first->family, first->help);
  fprintf (out, "# TYPE %s %s\n", first->family, name_kind (first->kind));
  for (const bt_counter_t *counter = first; counter != NULL; counter = counter->next)
    if (strcmp (counter->family, first->family) == 0)
      print_value (counter, out);
}

void
bt_print_counters (bt_context_t *ctx, FILE *out)
{
  bt_counters_t *counters = bt_get_counters (ctx);

  pthread_mutex_lock (&counters->lock);
  for (const bt_counter_t *counter = counters->first; counter != NULL; counter = counter->next)
    if (is_first_of_family (counters, counter))
      print_family (counter, out);
  pthread_mutex_unlock (&counters->lock);
}
