#include "admission/pressure.h"

#include <glib.h>

/* Pressure at which the bands of the least and the most important routes start: the
 * service is nearly full, or its queue holds a third as many calls as it can run. */
#define BAND_START_LOWEST 0.9
#define BAND_START_HIGHEST 1.35
#define BAND_WIDTH 0.35

double pressure_admitted_share(double pressure, uint32_t importance,
			       const importance_range_t *range)
{
	double span = (double)range->highest - range->lowest;
	double position = 1.0;

	if (span > 0)
		position = CLAMP(((double)importance - range->lowest) / span, 0.0, 1.0);
	double start =
		BAND_START_LOWEST + position * (BAND_START_HIGHEST - BAND_START_LOWEST);
	return CLAMP(1.0 - (pressure - start) / BAND_WIDTH, 0.0, 1.0);
}

bool pressure_admits(double pressure, uint32_t importance,
		     const importance_range_t *range, double draw)
{
	return draw < pressure_admitted_share(pressure, importance, range);
}
