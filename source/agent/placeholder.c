#include "bilberrytray/base.h"
