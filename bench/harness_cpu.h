#ifndef BILBERRYTRAY_BENCH_HARNESS_CPU_H
#define BILBERRYTRAY_BENCH_HARNESS_CPU_H

/** @file
 * CPU time of the bench process.
 */

#include <stdint.h>

/** Returns the CPU time of all threads of this process, in nanoseconds. */
int64_t bt_read_cpu_ns (void);

/** Returns the same time in microseconds. */
double bt_read_cpu_us (void);

#endif
