/* Which of the calls that lost their connection count as the cause of a crash. */
#include "case.h"

#include "claims/crash_watch.h"

#include <glib.h>

#define START (100 * USEC_PER_SEC)
#define CALLS_MAX 5
#define MS USEC_PER_MSEC
#define NOT_COUNTED SUSPECT_EVIDENCE_COUNT

typedef struct lost {
	uint64_t fingerprint; /* 0 ends the list */
	usec_t running;	      /* before the crash */
	bool completed;	      /* another request with the fingerprint did, 10 s before */
	usec_t lost_after;    /* noted this long after the crash */
	suspect_evidence_t evidence;
} lost_t;

typedef struct watch_case {
	const char *name;
	lost_t calls[CALLS_MAX];
} watch_case_t;

typedef struct found {
	suspect_evidence_t evidence[CALLS_MAX + 1]; /* by fingerprint */
	int counted[CALLS_MAX + 1];
	int completed[CALLS_MAX + 1];
} found_t;

static void handle_suspect(void *ctx, uint64_t fingerprint, suspect_evidence_t evidence)
{
	found_t *found = ctx;

	found->evidence[fingerprint] = evidence;
	found->counted[fingerprint]++;
}

static void handle_completed(void *ctx, uint64_t fingerprint)
{
	found_t *found = ctx;

	found->completed[fingerprint]++;
}

static void note_calls(crash_watch_t *watch, const lost_t *calls, usec_t from, usec_t to)
{
	for (const lost_t *call = calls; call < calls + CALLS_MAX && call->fingerprint;
	     call++) {
		if (call->lost_after >= from && call->lost_after < to)
			crash_watch_add(watch, call->fingerprint, START - call->running,
					START + call->lost_after);
	}
}

static void test_judgement(void **state)
{
	const watch_case_t *c = *state;
	crash_watch_t *watch = crash_watch_create();
	suspects_t *suspects = suspects_create();
	found_t found = {0};

	for (int i = 0; i < CALLS_MAX; i++) {
		if (c->calls[i].completed)
			suspects_handle_success(suspects, c->calls[i].fingerprint,
						START - 10 * USEC_PER_SEC);
	}
	note_calls(watch, c->calls, 0, CRASH_SETTLE_TIME);
	crash_watch_judge(watch, suspects, START + CRASH_SETTLE_TIME, handle_suspect,
			  &found);
	note_calls(watch, c->calls, CRASH_SETTLE_TIME, USEC_PER_SEC);
	crash_watch_judge(watch, suspects, START + USEC_PER_SEC, handle_suspect, &found);
	for (int i = 0; i < CALLS_MAX && c->calls[i].fingerprint; i++) {
		const lost_t *call = &c->calls[i];
		bool counts = call->evidence != NOT_COUNTED;
		assert_int_equal(found.counted[call->fingerprint], counts);
		if (counts)
			assert_int_equal(found.evidence[call->fingerprint],
					 call->evidence);
	}
	suspects_destroy(suspects);
	crash_watch_destroy(watch);
}

static const watch_case_t judgement_cases[] = {
	{"the only call", {{1, 2 * MS, false, 0, SUSPECT_ALONE}}},
	{"copies of one request",
	 {{1, 2 * MS, false, 0, SUSPECT_ALONE}, {1, 900 * MS, false, 0, SUSPECT_ALONE}}},
	{"calls that were running before the newest",
	 {{1, 2 * MS, false, 0, SUSPECT_RECENT},
	  {2, 300 * MS, false, 0, SUSPECT_EARLIER},
	  {3, 900 * MS, false, 0, SUSPECT_EARLIER}}},
	{"calls that started together",
	 {{1, 2 * MS, false, 0, SUSPECT_RECENT}, {2, 50 * MS, false, 0, SUSPECT_RECENT}}},
	{"requests that completed lately",
	 {{1, 50 * MS, false, 0, SUSPECT_ALONE},
	  {2, 2 * MS, true, 0, NOT_COUNTED},
	  {3, 300 * MS, true, 0, NOT_COUNTED}}},
	{"a call whose loss is noted after the judgement",
	 {{1, 2 * MS, false, 0, SUSPECT_ALONE},
	  {2, 500 * MS, false, 100 * MS, SUSPECT_EARLIER},
	  {3, 4 * MS, false, 100 * MS, SUSPECT_RECENT}}},
};

typedef struct keep_case {
	const char *name;
	usec_t wait; /* from the loss to the evidence */
	bool proved;
	bool same_process;
	int counted;
} keep_case_t;

static void test_keep(void **state)
{
	const keep_case_t *c = *state;
	crash_watch_t *watch = crash_watch_create();
	suspects_t *suspects = suspects_create();
	found_t found = {0};

	crash_watch_add(watch, 1, START, START);
	if (c->proved)
		crash_watch_prove(watch);
	if (c->same_process)
		crash_watch_discard(watch, handle_completed, &found);
	crash_watch_judge(watch, suspects, START + c->wait, handle_suspect, &found);
	assert_int_equal(found.counted[1], c->counted);
	/* Each loss is judged once. */
	crash_watch_judge(watch, suspects, START + c->wait, handle_suspect, &found);
	assert_int_equal(found.counted[1], c->counted);
	suspects_destroy(suspects);
	crash_watch_destroy(watch);
}

static const keep_case_t keep_cases[] = {
	{"evidence of a crash, seconds after the loss", 4 * USEC_PER_SEC, false, false,
	 1},
	{"evidence of a later crash", CRASH_WATCH_TIME + 1, false, false, 0},
	/* A sound target closed an idle connection, or cut a response off. */
	{"the same process reports after the loss", 4 * USEC_PER_SEC, false, true, 0},
	{"a late report between the proof and the judgement", CRASH_SETTLE_TIME, true,
	 true, 1},
};

typedef struct ended_case {
	const char *name;
	const char *steps; /* e: the response ends with the connection, l: another call
			      with the fingerprint is lost, p: a crash is proved, r: the
			      same process reports, j: judgement */
	int counted;
	int completed;
} ended_case_t;

/* The end of a response that ends with the connection must not count as its completion
 * while the target may have crashed within it. */
static void test_ended(void **state)
{
	const ended_case_t *c = *state;
	crash_watch_t *watch = crash_watch_create();
	suspects_t *suspects = suspects_create();
	found_t found = {0};
	usec_t now = START;

	for (const char *step = c->steps; *step; step++) {
		now += MS;
		if (*step == 'e')
			crash_watch_add_ended(watch, 1, now, now);
		else if (*step == 'l')
			crash_watch_add(watch, 1, now, now);
		else if (*step == 'p')
			crash_watch_prove(watch);
		else if (*step == 'r')
			crash_watch_discard(watch, handle_completed, &found);
		else
			crash_watch_judge(watch, suspects, now, handle_suspect, &found);
	}
	assert_int_equal(found.counted[1], c->counted);
	assert_int_equal(found.completed[1], c->completed);
	suspects_destroy(suspects);
	crash_watch_destroy(watch);
}

static const ended_case_t ended_cases[] = {
	{"the process reports after the end", "er", 0, 1},
	{"another process reports after the end", "ej", 1, 0},
	{"the target refuses connections after the end", "eprj", 1, 0},
	{"the process reports, then crashes", "erj", 0, 1},
	{"one of two calls was lost", "elr", 0, 0},
	{"one of two calls was lost before", "ler", 0, 0},
	{"one of two calls was lost, and the target crashed", "elj", 1, 0},
};

static void test_bound(void **state)
{
	(void)state;
	crash_watch_t *watch = crash_watch_create();
	suspects_t *suspects = suspects_create();
	found_t found = {0};

	crash_watch_add(watch, 1, START, START);
	for (uint64_t i = 0; i < 20000; i++)
		crash_watch_add(watch, 2 + i % 2, START, START + 1);
	crash_watch_judge(watch, suspects, START + 2, handle_suspect, &found);
	assert_int_equal(found.counted[1] + found.counted[2] + found.counted[3], 3);
	suspects_destroy(suspects);
	crash_watch_destroy(watch);
}

static const keep_case_t bound_cases[] = {{"copies take no room", 0, false, false, 0}};

int main(void)
{
	int failed = RUN_CASES("judgement", judgement_cases, test_judgement);

	failed += RUN_CASES("keep", keep_cases, test_keep);
	failed += RUN_CASES("ended", ended_cases, test_ended);
	failed += RUN_CASES("bound", bound_cases, test_bound);
	return failed;
}
