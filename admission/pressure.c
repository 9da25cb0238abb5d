#include "admission/pressure.h"

#include <glib.h>

/* Where the bands of the least and the most important routes begin: a service that
 * is nearly full, and one whose queue holds a third of what it runs. */
#define BAND_LOWEST 0.9
#define BAND_HIGHEST 1.35
#define BAND_WIDTH 0.35

double pressure_admitted_share(double pressure, uint32_t importance,
			       const importance_range_t *range)
{
	double span = (double)range->highest - range->lowest;
	double place = 1.0;

	if (span > 0)
		place = CLAMP(((double)importance - range->lowest) / span, 0.0, 1.0);
	double begin = BAND_LOWEST + place * (BAND_HIGHEST - BAND_LOWEST);
	return CLAMP(1.0 - (pressure - begin) / BAND_WIDTH, 0.0, 1.0);
}

bool pressure_admits(double pressure, uint32_t importance,
		     const importance_range_t *range, double draw)
{
	return draw < pressure_admitted_share(pressure, importance, range);
}
