#include "retry/call_history.h"

#include <glib.h>

#define WINDOW_BUCKETS 20
#define BUCKETS (2 * WINDOW_BUCKETS)

struct call_history {
	usec_t window;
	usec_t bucket_time;
	uint32_t events[BUCKETS]; /* a ring */
	int64_t newest;		  /* number of the newest bucket */
};

call_history_t *call_history_create(usec_t window)
{
	call_history_t *history = g_new0(call_history_t, 1);

	history->window = window;
	history->bucket_time = MAX(window / WINDOW_BUCKETS, 1);
	return history;
}

void call_history_destroy(call_history_t *history)
{
	g_free(history);
}

static void advance(call_history_t *history, usec_t now)
{
	int64_t number = now / history->bucket_time;

	if (number - history->newest > BUCKETS)
		history->newest = number - BUCKETS;
	while (history->newest < number)
		history->events[++history->newest % BUCKETS] = 0;
}

void call_history_record(call_history_t *history, usec_t now)
{
	advance(history, now);
	history->events[history->newest % BUCKETS]++;
}

/* Events in the window that ended `back` buckets ago; at most a window back. */
static uint64_t count(const call_history_t *history, int back)
{
	uint64_t sum = 0;

	for (int i = 0; i < WINDOW_BUCKETS; i++) {
		int64_t number = history->newest - back - i;
		if (number >= 0)
			sum += history->events[number % BUCKETS];
	}
	return sum;
}

double call_history_rate(call_history_t *history, usec_t now)
{
	advance(history, now);
	uint64_t most = MAX(count(history, 0), count(history, WINDOW_BUCKETS / 2));

	most = MAX(most, count(history, WINDOW_BUCKETS));
	return (double)most * USEC_PER_SEC / (double)history->window;
}

uint64_t call_history_last(call_history_t *history, usec_t now)
{
	advance(history, now);
	return count(history, 0);
}
