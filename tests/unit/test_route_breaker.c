/* Tests of route_breaker, in virtual time. */
#include "case.h"

#include "admission/route_breaker.h"

#include <glib.h>

#define START (100 * USEC_PER_SEC)
#define PERIOD (10 * USEC_PER_MSEC)
#define ARRIVALS 1000 /* one each PERIOD */
/* The service that is called has no instance in the second and third quarter. */
#define LOST_FROM (ARRIVALS / 4)
#define LOST_UNTIL (3 * ARRIVALS / 4)

/* Guards against requests that run and fail for as long as a service that they call has
 * no instance, and against refusing those that do without the call. */
typedef struct breaker_case {
	const char *name;
	usec_t latency;	  /* of responses */
	int independent;  /* each so many requests, one needs no call; 0: none */
	bool unavailable; /* reported while the requests fail */
	int run_max;	  /* requests that run and fail */
	int refused_max;  /* of all */
	int refused_min;
	int refused_late_max; /* after the service is back */
} breaker_case_t;

typedef struct response {
	usec_t at;
	bool failed;
} response_t;

static const breaker_case_t cases[] = {
	/* 5 s: eight failures, then five probes a second, and what is in flight. */
	{"all fail", 5 * USEC_PER_MSEC, 0, true, 8 + 26, ARRIVALS, 400, 21},
	{"slow responses", 300 * USEC_PER_MSEC, 0, true, 8 + 26 + 30, ARRIVALS, 400,
	 21 + 30},
	{"one of four does without the call", 5 * USEC_PER_MSEC, 4, true, ARRIVALS, 0, 0,
	 0},
	{"the service that is called has instances", 5 * USEC_PER_MSEC, 0, false,
	 ARRIVALS, 0, 0, 0},
	{"the calls do not matter", 5 * USEC_PER_MSEC, 1, true, 0, 0, 0, 0},
};

static void test_case(void **state)
{
	const breaker_case_t *c = *state;
	route_breaker_t *breaker = route_breaker_create();
	GQueue responses = G_QUEUE_INIT;
	int run = 0, refused = 0, refused_late = 0;

	for (int i = 0; i < ARRIVALS; i++) {
		usec_t now = START + i * PERIOD;
		bool lost = i >= LOST_FROM && i < LOST_UNTIL;
		response_t *due = g_queue_peek_head(&responses);

		while (due && due->at <= now) {
			route_breaker_record(breaker, "r", due->failed,
					     lost && c->unavailable);
			g_free(g_queue_pop_head(&responses));
			due = g_queue_peek_head(&responses);
		}
		if (!route_breaker_admits(breaker, "r", now)) {
			refused++;
			refused_late += i >= LOST_UNTIL;
			continue;
		}
		route_breaker_handle_send(breaker, "r", now);
		due = g_new0(response_t, 1);
		due->at = now + c->latency;
		due->failed = lost && !(c->independent && i % c->independent == 0);
		run += due->failed;
		g_queue_push_tail(&responses, due);
	}
	print_message("run %d, refused %d, late %d\n", run, refused, refused_late);
	assert_true(run <= c->run_max);
	assert_true(refused >= c->refused_min && refused <= c->refused_max);
	assert_true(refused_late <= c->refused_late_max);
	g_queue_clear_full(&responses, g_free);
	route_breaker_destroy(breaker);
}

int main(void)
{
	return RUN_CASES("route breaker", cases, test_case);
}
