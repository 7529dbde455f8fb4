#include <CUnit/Basic.h>
#include <dirent.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

enum
{
  MAX_NAMES = 512,
  NAME_BYTES = 96,
  PATH_BYTES = 1024,
};

static char names[MAX_NAMES][NAME_BYTES];
static int name_count;
static int use_count;

static char *
read_file (const char *path)
{
  FILE *file = fopen (path, "r");
  char *text;
  long bytes;

  if (file == NULL)
    return NULL;
  fseek (file, 0, SEEK_END);
  bytes = ftell (file);
  rewind (file);
  text = calloc ((size_t)bytes + 1, 1);
  if (fread (text, 1, (size_t)bytes, file) != (size_t)bytes)
    text[0] = '\0';
  fclose (file);
  return text;
}

/* Returns 1 for a name on the wire: a header, a path or key, or a field of several words. Single
 * words such as "name" are too common to check. */
static int
is_wire_name (const char *text)
{
  if (strncmp (text, "Bilberrytray-", 13) == 0)
    return 1;
  if (strchr (text, ' ') != NULL || strchr (text, '%') != NULL || strchr (text, '{') != NULL)
    return 0;
  if (strncmp (text, "/v1/", 4) == 0 || strchr (text, '/') != NULL)
    return 1;
  return strchr (text, '_') != NULL;
}

static void
collect_name (const char *start, size_t bytes)
{
  char name[NAME_BYTES];

  if (bytes < 4 || bytes >= NAME_BYTES || name_count == MAX_NAMES)
    return;
  memcpy (name, start, bytes);
  name[bytes] = '\0';
  if (is_wire_name (name))
    memcpy (names[name_count++], name, bytes + 1);
}

/* Collects the string literals of one source file of the adapter. */
static void
collect_names (const char *path)
{
  char *text = read_file (path);
  char *line = text;

  while (line != NULL && *line != '\0')
    {
      char *end = strchr (line, '\n');
      char *quote = strncmp (line, "#include", 8) == 0 ? NULL : strchr (line, '"');

      while (quote != NULL && (end == NULL || quote < end))
        {
          char *close = strchr (quote + 1, '"');

          if (close == NULL)
            break;
          collect_name (quote + 1, (size_t)(close - quote) - 1);
          quote = strchr (close + 1, '"');
        }
      line = end == NULL ? NULL : end + 1;
    }
  free (text);
}

static void
find_uses (const char *path)
{
  char *text = read_file (path);

  for (int i = 0; text != NULL && i < name_count; i++)
    {
      char quoted[NAME_BYTES + 3];

      snprintf (quoted, sizeof quoted, "\"%.*s\"", NAME_BYTES - 1, names[i]);
      if (strstr (text, quoted) == NULL)
        continue;
      printf ("%s uses the platform's name %s\n", path, quoted);
      use_count++;
    }
  if (text != NULL && strstr (text, "Bilberrytray-") != NULL)
    {
      printf ("%s uses a header of the platform\n", path);
      use_count++;
    }
  free (text);
}

static void
walk (const char *folder, void (*visit) (const char *path))
{
  DIR *list = opendir (folder);
  struct dirent *entry;

  while (list != NULL && (entry = readdir (list)) != NULL)
    {
      char path[PATH_BYTES];
      struct stat status;

      if (entry->d_name[0] == '.')
        continue;
      snprintf (path, sizeof path, "%s/%s", folder, entry->d_name);
      if (stat (path, &status) != 0)
        continue;
      if (S_ISDIR (status.st_mode))
        walk (path, visit);
      else
        visit (path);
    }
  if (list != NULL)
    closedir (list);
}

/* Names of the platform may only be spelled in the adapter. If the platform renames a header, a
 * copy of its name elsewhere would keep the old one. */
static void
test_only_the_adapter_knows_the_platforms_names (void)
{
  walk ("platform", collect_names);
  CU_ASSERT (name_count > 40);
  walk ("source", find_uses);
  walk ("include", find_uses);
  CU_ASSERT_EQUAL (use_count, 0);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("names", NULL, NULL);
  CU_ADD_TEST (suite, test_only_the_adapter_knows_the_platforms_names);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
