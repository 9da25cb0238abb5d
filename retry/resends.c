#include "retry/resends.h"

#include "retry/call_history.h"

#include <glib.h>
#include <math.h>

/* The rates and shares of the present are averages over about this time. */
#define AVERAGE_TIME (400 * USEC_PER_MSEC)
/* Accepted sends that are added to the average, so that few sends say little. */
#define SENDS_PRIOR 4.0
#define REJECTED_SHARE_MAX 0.95
/* Unused resends accumulate over at most this time. */
#define BURST_TIME (500 * USEC_PER_MSEC)
#define BURST_MIN 1.0

struct resends {
	double ratio;
	usec_t window;
	call_history_t *calls; /* by the time of their first send */
	call_history_t *repeats;
	double tokens;
	usec_t refilled_at;
	/* Sums that decay over AVERAGE_TIME. */
	double recent_sends;
	double recent_rejected;
	usec_t decayed_at;
};

resends_t *resends_create(double ratio, usec_t window)
{
	resends_t *resends = g_new0(resends_t, 1);

	resends->ratio = ratio;
	resends->window = window;
	resends->calls = call_history_create(window);
	resends->repeats = call_history_create(window);
	resends->tokens = BURST_MIN;
	return resends;
}

void resends_destroy(resends_t *resends)
{
	if (!resends)
		return;
	call_history_destroy(resends->calls);
	call_history_destroy(resends->repeats);
	g_free(resends);
}

/* Resends per second that the budget allows on average. */
static double allowed_rate(resends_t *resends, usec_t now)
{
	return resends->ratio * call_history_rate(resends->calls, now);
}

static void decay(resends_t *resends, usec_t now)
{
	double left = exp(-(double)(now - resends->decayed_at) / AVERAGE_TIME);

	resends->recent_sends *= left;
	resends->recent_rejected *= left;
	resends->decayed_at = now;
}

static void refill(resends_t *resends, usec_t now)
{
	double rate = allowed_rate(resends, now);
	double most = MAX(rate * BURST_TIME / USEC_PER_SEC, BURST_MIN);
	double added = rate * (double)(now - resends->refilled_at) / USEC_PER_SEC;

	resends->tokens = MIN(resends->tokens + added, most);
	resends->refilled_at = now;
}

void resends_record_call(resends_t *resends, usec_t now)
{
	call_history_record(resends->calls, now);
}

void resends_record_result(resends_t *resends, bool rejected, usec_t now)
{
	decay(resends, now);
	resends->recent_sends++;
	resends->recent_rejected += rejected;
}

/* Repeats that were paced while there were more calls may be too many for the last window
 * when the calls have fallen. */
static bool exceeds_window(resends_t *resends, usec_t now)
{
	double allowed =
		allowed_rate(resends, now) * (double)resends->window / USEC_PER_SEC;

	return (double)call_history_last(resends->repeats, now) >=
	       MAX(allowed, BURST_MIN);
}

bool resends_take(resends_t *resends, usec_t now)
{
	refill(resends, now);
	if (resends->tokens < 1.0 || exceeds_window(resends, now))
		return false;
	resends->tokens -= 1.0;
	call_history_record(resends->repeats, now);
	return true;
}

/* Retries that exceed the budget are held against it for at most one window: the bound
 * says nothing about those before. */
void resends_record_retry(resends_t *resends, usec_t now)
{
	double debt_max =
		allowed_rate(resends, now) * (double)resends->window / USEC_PER_SEC;

	refill(resends, now);
	call_history_record(resends->repeats, now);
	resends->tokens = MAX(resends->tokens - 1.0, -MAX(debt_max, BURST_MIN));
}

/* The share of sends that were rejected lately. */
static double rejected_share(resends_t *resends, usec_t now)
{
	decay(resends, now);
	return MIN(resends->recent_rejected / (resends->recent_sends + SENDS_PRIOR),
		   REJECTED_SHARE_MAX);
}

/* Sends beyond the first that each call needs on average until it is accepted. */
static double resends_per_call(resends_t *resends, usec_t now)
{
	double share = rejected_share(resends, now);

	return share / (1 - share);
}

double resends_completable_share(resends_t *resends, usec_t now)
{
	double needed = resends_per_call(resends, now);

	return needed > resends->ratio ? resends->ratio / needed : 1.0;
}
