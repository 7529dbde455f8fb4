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
  char *label;
  char *label_value;
  bt_counter_t *next;
};

struct bt_counters
{
  pthread_mutex_t lock; /**< Guards the list; values are changed without it. */
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
      bt_free (ctx, counter->label);
      bt_free (ctx, counter->label_value);
      bt_free (ctx, counter);
    }
  pthread_mutex_destroy (&counters->lock);
  bt_free (ctx, counters);
}

static bool
same_text (const char *left, const char *right)
{
  if (left == NULL || right == NULL)
    return left == right;
  return strcmp (left, right) == 0;
}

static bt_counter_t *
find_locked (bt_counters_t *counters, const char *family, const char *label, const char *value)
{
  for (bt_counter_t *counter = counters->first; counter != NULL; counter = counter->next)
    if (same_text (counter->family, family) && same_text (counter->label, label)
        && same_text (counter->label_value, value))
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
bt_find_counter (bt_context_t *ctx,
                 bt_counter_kind_t kind,
                 const char *family,
                 const char *help,
                 const char *label,
                 const char *value)
{
  bt_counters_t *counters = bt_get_counters (ctx);
  bt_counter_t *counter;

  pthread_mutex_lock (&counters->lock);
  counter = find_locked (counters, family, label, value);
  if (counter == NULL)
    {
      counter = append_locked (ctx, counters);
      counter->kind = kind;
      counter->family = bt_strdup (ctx, family);
      counter->help = bt_strdup (ctx, help);
      counter->label = label == NULL ? NULL : bt_strdup (ctx, label);
      counter->label_value = value == NULL ? NULL : bt_strdup (ctx, value);
    }
  pthread_mutex_unlock (&counters->lock);
  return counter;
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
starts_family (const bt_counters_t *counters, const bt_counter_t *counter)
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

/* Of a histogram the sum and the count have no label, but a name of their own. */
static void
print_value (const bt_counter_t *counter, FILE *out)
{
  const char *bucket = counter->kind == BT_HISTOGRAM ? "_bucket" : "";
  long long value = bt_read_counter (counter);

  if (counter->label != NULL)
    fprintf (out, "%s%s{%s=\"%s\"} %lld\n", counter->family, bucket, counter->label,
             counter->label_value, value);
  else if (counter->kind == BT_HISTOGRAM)
    fprintf (out, "%s_%s %lld\n", counter->family, counter->label_value, value);
  else
    fprintf (out, "%s %lld\n", counter->family, value);
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
    if (starts_family (counters, counter))
      print_family (counter, out);
  pthread_mutex_unlock (&counters->lock);
}
