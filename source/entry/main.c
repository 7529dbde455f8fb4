#include <stdio.h>

#include "bilberrytray/base.h"

int
main (int argc, char **argv)
{
  printf ("bilberryd %s\n", BT_VERSION);
  return 0;
}
