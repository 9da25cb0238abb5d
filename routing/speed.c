#include "routing/speed.h"

#include <glib.h>
#include <math.h>

/* Largest weight of one response time, so that a rare call does not replace the mean. */
#define SAMPLE_WEIGHT_MAX 0.2
/* Weight of one call in the share of failed calls. */
#define CALL_WEIGHT 0.05
/* The configured speeds differ by up to 2.4, bursts included by 4. The bound keeps an
 * instance with a wrong report in use. */
#define RATIO_MAX 3.0
/* A rejected call may end the request that made it, and an instance that rejects calls
 * has few in flight. The factor therefore rises faster than the share of failed calls. */
#define FAILURE_SLOPE 16.0
#define FAILURE_FACTOR_MAX 8.0
/* Differences below this share are noise: one failed call has a weight of 0.05. */
#define FAILURE_TOLERANCE 0.05

static double approach(usec_t elapsed, usec_t constant)
{
	return 1.0 - exp(-(double)MAX(elapsed, 0) / (double)constant);
}

void speed_meter_record(speed_meter_t *meter, usec_t time, usec_t now)
{
	double weight = approach(now - meter->recorded_at, SPEED_METER_USEC);

	if (meter->time <= 0)
		meter->time = (double)MAX(time, 1);
	else
		meter->time +=
			MIN(weight, SAMPLE_WEIGHT_MAX) * ((double)time - meter->time);
	meter->recorded_at = now;
}

void speed_meter_record_cancelled(speed_meter_t *meter, usec_t elapsed, usec_t now)
{
	if (meter->time > 0 && (double)elapsed > meter->time)
		speed_meter_record(meter, elapsed, now);
}

uint32_t speed_meter_value(const speed_meter_t *meter)
{
	return (uint32_t)CLAMP(meter->time, 0, (double)UINT32_MAX);
}

void instance_speed_report(instance_speed_t *speed, uint32_t time, usec_t now)
{
	if (time == 0 || speed->time <= 0 || time >= speed->time)
		speed->time = time;
	else
		speed->time += approach(now - speed->reported_at, SPEED_RISE_USEC) *
			       (time - speed->time);
	speed->reported_at = now;
}

double instance_speed_failed(const instance_speed_t *speed, usec_t now)
{
	return speed->failed *
	       (1.0 - approach(now - speed->failed_at, SPEED_FAILED_USEC));
}

void instance_speed_record_call(instance_speed_t *speed, bool failed, usec_t now)
{
	double share = instance_speed_failed(speed, now);

	speed->failed = share + CALL_WEIGHT * ((failed ? 1.0 : 0.0) - share);
	speed->failed_at = now;
}

static double report_weight(const instance_speed_t *speed, usec_t now)
{
	double age = (double)(now - speed->reported_at) / (double)SPEED_LIFETIME_USEC;

	return CLAMP(1.0 - age, 0.0, 1.0);
}

void service_speed_add(service_speed_t *service, const instance_speed_t *speed,
		       usec_t now)
{
	double weight = report_weight(speed, now);

	if (speed->time > 0) {
		service->time_sum += weight * speed->time;
		service->time_weight += weight;
	}
	service->failed_sum += instance_speed_failed(speed, now);
	service->instances++;
}

double speed_time_ratio(const service_speed_t *service, const instance_speed_t *speed,
			usec_t now)
{
	if (speed->time <= 0 || service->time_weight <= 0 || service->time_sum <= 0)
		return 1.0;
	double ratio = speed->time * service->time_weight / service->time_sum;
	return CLAMP(1.0 + report_weight(speed, now) * (ratio - 1.0), 1.0 / RATIO_MAX,
		     RATIO_MAX);
}

double speed_failure_factor(const service_speed_t *service, const instance_speed_t *speed,
			    usec_t now)
{
	if (service->instances == 0)
		return 1.0;
	double excess = instance_speed_failed(speed, now) -
			service->failed_sum / service->instances - FAILURE_TOLERANCE;
	return CLAMP(1.0 + FAILURE_SLOPE * excess, 1.0, FAILURE_FACTOR_MAX);
}
