#include "retry/retry_after.h"

#include <glib.h>

#define PART_MIN 0.2
#define PART_MAX 0.6

usec_t retry_after_shed(usec_t objective, uint64_t random)
{
	double uniform = (double)(random >> 11) / (double)(1ull << 53);
	double part = PART_MIN + uniform * (PART_MAX - PART_MIN);

	return MAX((usec_t)(part * (double)objective), RETRY_AFTER_MIN);
}
