#include "bilberrytray/base/process_use.h"

#include <dirent.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/resource.h>
#include <unistd.h>

#include "bilberrytray/base/counters.h"

enum
{
  /* Descriptors for files, links, the store, probes and control; half of a lower limit. */
  OWN_DESCRIPTORS = 100,
  DESCRIPTORS_PER_CALLER = 2,
  CONTROL_DIVISOR = 16,
};

/* Returns the resident memory in bytes; -1 if it can't be read. */
static int64_t
read_memory_bytes (void)
{
  FILE *file = fopen ("/proc/self/statm", "re");
  long long total_pages;
  long long resident_pages;
  int count;

  if (file == NULL)
    return -1;
  count = fscanf (file, "%lld %lld", &total_pages, &resident_pages);
  fclose (file);
  return count == 2 ? (int64_t)resident_pages * sysconf (_SC_PAGESIZE) : -1;
}

/* Returns the number of open descriptors without the one that counts them; -1 if it can't be read.
 */
static int64_t
count_descriptors (void)
{
  DIR *folder = opendir ("/proc/self/fd");
  const struct dirent *entry;
  int64_t count = -1;

  if (folder == NULL)
    return -1;
  while ((entry = readdir (folder)) != NULL)
    count += entry->d_name[0] != '.';
  closedir (folder);
  return count;
}

static void
update_gauge (bt_context_t *ctx, const char *family, const char *help, int64_t value)
{
  if (value >= 0)
    bt_set_gauge (bt_find_counter (ctx, BT_GAUGE, family, help, NULL, NULL), value);
}

void
bt_update_process_gauges (bt_context_t *ctx)
{
  update_gauge (ctx, "bilberry_memory_bytes", "Resident memory of the process.",
                read_memory_bytes ());
  update_gauge (ctx, "bilberry_open_descriptors", "Open file descriptors of the process.",
                count_descriptors ());
}

int32_t
bt_get_descriptor_limit (void)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur > INT32_MAX)
    return INT32_MAX;
  return (int32_t)limit.rlim_cur;
}

static int32_t
clamp_connections (int32_t connections, int32_t max)
{
  if (connections < 1)
    return 1;
  return connections < max ? connections : max;
}

int32_t
bt_bound_caller_connections (int32_t max, int32_t descriptors)
{
  int32_t own = descriptors / 2 < OWN_DESCRIPTORS ? descriptors / 2 : OWN_DESCRIPTORS;

  return clamp_connections ((descriptors - own) / DESCRIPTORS_PER_CALLER, max);
}

int32_t
bt_bound_control_connections (int32_t max, int32_t descriptors)
{
  return clamp_connections (descriptors / CONTROL_DIVISOR, max);
}
