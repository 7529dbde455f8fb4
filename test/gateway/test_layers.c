#include <CUnit/Basic.h>
#include <ctype.h>
#include <dirent.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MAX_FILES = 256,
  MAX_FUNCTIONS = 2048,
  NAME_BYTES = 96,
  PATH_BYTES = 1024,
  /* Fewer found than this means that the sources were not read or not understood. */
  MIN_FUNCTIONS = 200,
  MIN_USES = 200,
};

static const char *const folder = "source/gateway";

/* A C file or a header. */
typedef struct source_file
{
  char name[NAME_BYTES];
  char *text; /* Comments and literals are blanks, except the names of included files. */
} source_file_t;

/* A function that a C file defines and other files may call. */
typedef struct function
{
  char name[NAME_BYTES];
  int file;
} function_t;

typedef enum visit
{
  UNVISITED = 0,
  ON_PATH,
  VISITED,
} visit_t;

static source_file_t files[MAX_FILES];
static int file_count;
static function_t functions[MAX_FUNCTIONS];
static int function_count;
/* The function or header for which a file needs another one; NULL: it does not need it. */
static const char *uses[MAX_FILES][MAX_FILES];
static int use_count;
static visit_t visits[MAX_FILES];
static int path[MAX_FILES];
static int path_length;
static int cycle_count;

static char *
read_file (const char *file_path)
{
  FILE *file = fopen (file_path, "r");
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

static void
blank (char *start, const char *end)
{
  for (char *at = start; at < end; at++)
    if (*at != '\n')
      *at = ' ';
}

/* Returns the end of the comment or literal that starts at @p start; @p start if none does. */
static char *
skip_comment_or_literal (char *start)
{
  char *end = start + 1;

  if (strncmp (start, "/*", 2) == 0)
    {
      end = strstr (start + 2, "*/");
      return end == NULL ? start + strlen (start) : end + 2;
    }
  if (strncmp (start, "//", 2) == 0)
    return start + strcspn (start, "\n");
  if (*start != '"' && *start != '\'')
    return start;
  while (*end != '\0' && *end != *start)
    end += *end == '\\' && end[1] != '\0' ? 2 : 1;
  return *end == '\0' ? end : end + 1;
}

static void
blank_comments_and_literals (char *text)
{
  char *at = text;

  while (*at != '\0')
    {
      char *end = skip_comment_or_literal (at);

      if (strncmp (at, "#include", 8) == 0)
        at += strcspn (at, "\n");
      else if (end == at)
        at++;
      else
        {
          blank (at, end);
          at = end;
        }
    }
}

static int
ends_with (const char *name, const char *suffix)
{
  size_t bytes = strlen (name);

  return bytes >= strlen (suffix) && strcmp (name + bytes - strlen (suffix), suffix) == 0;
}

static int
compare_files (const void *left, const void *right)
{
  return strcmp (((const source_file_t *)left)->name, ((const source_file_t *)right)->name);
}

static void
read_files (void)
{
  DIR *list = opendir (folder);
  struct dirent *entry;

  while (list != NULL && (entry = readdir (list)) != NULL && file_count < MAX_FILES)
    {
      char file_path[PATH_BYTES];
      source_file_t *file = &files[file_count];

      if (!ends_with (entry->d_name, ".c") && !ends_with (entry->d_name, ".h"))
        continue;
      snprintf (file_path, sizeof file_path, "%s/%s", folder, entry->d_name);
      snprintf (file->name, sizeof file->name, "%.*s", NAME_BYTES - 1, entry->d_name);
      file->text = read_file (file_path);
      if (file->text == NULL)
        continue;
      blank_comments_and_literals (file->text);
      file_count++;
    }
  if (list != NULL)
    closedir (list);
  qsort (files, (size_t)file_count, sizeof files[0], compare_files);
}

static size_t
get_word_bytes (const char *text)
{
  size_t bytes = 0;

  while (isalnum ((unsigned char)text[bytes]) || text[bytes] == '_')
    bytes++;
  return bytes;
}

/* Collects the functions that a C file defines for others. The house style puts the name of a
 * defined function at the start of a line, below its return type. */
static void
collect_functions (int file)
{
  int is_static = 0;

  for (const char *line = files[file].text; line != NULL; line = strchr (line, '\n'))
    {
      size_t bytes;

      if (*line == '\n')
        line++;
      bytes = get_word_bytes (line);
      if (bytes > 0 && bytes < NAME_BYTES && strncmp (line + bytes, " (", 2) == 0 && !is_static
          && function_count < MAX_FUNCTIONS)
        {
          memcpy (functions[function_count].name, line, bytes);
          functions[function_count++].file = file;
        }
      is_static = strncmp (line, "static ", 7) == 0;
    }
}

static int
find_function (const char *word, size_t bytes)
{
  for (int i = 0; i < function_count; i++)
    if (strlen (functions[i].name) == bytes && strncmp (functions[i].name, word, bytes) == 0)
      return i;
  return -1;
}

static void
add_use (int user, int used, const char *name)
{
  if (user == used || uses[user][used] != NULL)
    return;
  uses[user][used] = name;
  use_count++;
}

/* Collects the functions of other files that a C file names, be it to call them or to pass them on
 * as callbacks. */
static void
collect_calls (int file)
{
  const char *at = files[file].text;

  while (*at != '\0')
    {
      size_t bytes = get_word_bytes (at);
      int function = bytes == 0 ? -1 : find_function (at, bytes);

      if (function >= 0)
        add_use (file, functions[function].file, functions[function].name);
      at += bytes == 0 ? 1 : bytes;
    }
}

static void
collect_includes (int file)
{
  for (int i = 0; i < file_count; i++)
    {
      char line[NAME_BYTES + 16];

      snprintf (line, sizeof line, "#include \"%.*s\"", NAME_BYTES - 1, files[i].name);
      if (strstr (files[file].text, line) != NULL)
        add_use (file, i, files[i].name);
    }
}

static void
print_cycle (int first)
{
  int at = path_length - 1;

  while (path[at] != first)
    at--;
  printf ("\n%s: cycle:", folder);
  for (; at < path_length; at++)
    {
      int next = at + 1 < path_length ? path[at + 1] : first;

      printf (" %s -(%s)->", files[path[at]].name, uses[path[at]][next]);
    }
  printf (" %s\n", files[first].name);
}

static void
find_cycles (int file)
{
  visits[file] = ON_PATH;
  path[path_length++] = file;
  for (int next = 0; next < file_count; next++)
    {
      if (uses[file][next] == NULL || visits[next] == VISITED)
        continue;
      if (visits[next] == UNVISITED)
        find_cycles (next);
      else
        {
          print_cycle (next);
          cycle_count++;
        }
    }
  path_length--;
  visits[file] = VISITED;
}

/* Guards against files of the gateway that can be read and changed only together: a file that
 * calls a function of a layer above it, or includes its header, closes a cycle. Events go upwards
 * by a vtable or a callback that the upper layer has set. */
static void
test_files_of_the_gateway_form_no_cycle (void)
{
  read_files ();
  for (int i = 0; i < file_count; i++)
    if (ends_with (files[i].name, ".c"))
      collect_functions (i);
  for (int i = 0; i < file_count; i++)
    {
      collect_includes (i);
      if (ends_with (files[i].name, ".c"))
        collect_calls (i);
    }
  CU_ASSERT (function_count > MIN_FUNCTIONS);
  CU_ASSERT (function_count < MAX_FUNCTIONS);
  CU_ASSERT (file_count < MAX_FILES);
  CU_ASSERT (use_count > MIN_USES);
  for (int i = 0; i < file_count; i++)
    if (visits[i] == UNVISITED)
      find_cycles (i);
  CU_ASSERT_EQUAL (cycle_count, 0);
  for (int i = 0; i < file_count; i++)
    free (files[i].text);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("layers", NULL, NULL);
  CU_ADD_TEST (suite, test_files_of_the_gateway_form_no_cycle);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
