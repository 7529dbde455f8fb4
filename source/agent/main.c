#include <stdio.h>

#include "bilberrytray/base.h"

int
main (int argc, char **argv)
{
  printf ("bilberry-agent %s\n", BT_VERSION);
  return 0;
}
