/* Fences of attempts, crash suspects and idempotency claims. */
#include "case.h"

#include "claims/attempts.h"
#include "claims/claim.h"
#include "claims/suspects.h"
#include "http/headers.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define START (1000 * USEC_PER_SEC)

/* --- Fences ------------------------------------------------------------------- */

typedef struct fence_case {
	const char *name;
	const char *steps;   /* s start, e end, f fence, o fence of an old attempt, w wait
				past retention */
	const char *results; /* one for each s, f and o: y or n */
} fence_case_t;

static void test_fence(void **state)
{
	const fence_case_t *c = *state;
	attempts_t *attempts = attempts_create();
	const char *result = c->results;
	usec_t now = START;

	for (const char *step = c->steps; *step; step++) {
		now += USEC_PER_MSEC;
		if (*step == 's')
			assert_int_equal(attempts_start(attempts, 1, now),
					 *result++ == 'y');
		else if (*step == 'f')
			assert_int_equal(attempts_fence(attempts, 1, USEC_PER_SEC, now),
					 *result++ == 'y');
		else if (*step == 'o')
			assert_int_equal(attempts_fence(attempts, 1,
							ATTEMPT_FENCE_AGE_MAX + 1, now),
					 *result++ == 'y');
		else if (*step == 'e')
			attempts_finish(attempts, 1, now);
		else
			now += ATTEMPT_RETENTION + USEC_PER_SEC;
	}
	attempts_destroy(attempts);
}

static const fence_case_t fence_cases[] = {
	{"an attempt fenced before its start never starts", "fs", "yn"},
	{"a fence of a running attempt is refused", "sf", "yn"},
	{"a fence of a finished attempt is refused", "sef", "yn"},
	{"a repeated fence gives the same result", "ffs", "yyn"},
	{"an attempt starts once", "ss", "yn"},
	{"an attempt that runs past the retention is not evicted", "swf", "yn"},
	{"a fence of an attempt that is too old is refused", "o", "n"},
};

/* In no order of starts, fences and ends may an attempt both start and be fenced. */
typedef struct interleave_case {
	const char *name;
	int length;
} interleave_case_t;

static void test_interleavings(void **state)
{
	const interleave_case_t *c = *state;
	int orders = 1 << (2 * c->length);

	for (int order = 0; order < orders; order++) {
		attempts_t *attempts = attempts_create();
		bool started = false;
		bool fenced = false;
		for (int i = 0; i < c->length; i++) {
			usec_t now = START + i;
			switch (order >> (2 * i) & 3) {
			case 0:
				started |= attempts_start(attempts, 1, now);
				break;
			case 1:
				fenced |= attempts_fence(attempts, 1, 0, now);
				break;
			case 2:
				attempts_finish(attempts, 1, now);
				break;
			default:
				break;
			}
			assert_false(started && fenced);
		}
		attempts_destroy(attempts);
	}
}

static const interleave_case_t interleave_cases[] = {
	{"all orders of six events", 6},
};

/* --- Suspects ------------------------------------------------------------------ */

typedef struct suspect_case {
	const char *name;
	/* At a crash: c alone in flight, d another call at the same crash, r one of
	 * several that started last, e running before those, l alone at another node's
	 * target. s: a success; a: one at another node. w: wait until the first refusal
	 * is over, W: until the second one is, m: until all is forgotten */
	const char *steps;
	bool refused;
	bool on_probation;
} suspect_case_t;

static suspect_evidence_t evidence_of(char step)
{
	if (step == 'r')
		return SUSPECT_RECENT;
	return step == 'e' ? SUSPECT_EARLIER : SUSPECT_ALONE;
}

static usec_t wait_of(char step)
{
	if (step == 'w')
		return SUSPECT_REFUSE_TIME;
	return step == 'W' ? 4 * SUSPECT_REFUSE_TIME : SUSPECT_MEMORY_TIME;
}

static void test_suspect(void **state)
{
	const suspect_case_t *c = *state;
	suspects_t *suspects = suspects_create();
	usec_t now = START;
	uint64_t last_id = 100;

	for (const char *step = c->steps; *step; step++) {
		now += 2 * USEC_PER_SEC;
		if (strchr("cre", *step)) {
			uint64_t crash = suspects_crash_id(suspects, ++last_id, now);
			suspects_handle_crash(suspects, 1, crash, evidence_of(*step),
					      now);
		} else if (*step == 'd') {
			now -= 2 * USEC_PER_SEC;
			suspects_handle_crash(suspects, 1,
					      suspects_crash_id(suspects, ++last_id, now),
					      SUSPECT_ALONE, now);
		} else if (*step == 'l') {
			suspects_handle_remote_crash(suspects, 1, ++last_id,
						     SUSPECT_ALONE, 0, now);
		} else if (*step == 's') {
			suspects_handle_success(suspects, 1, now);
		} else if (*step == 'a') {
			suspects_handle_remote_success(suspects, 1, now);
			suspects_handle_remote_success(suspects, 3, now);
		} else {
			now += wait_of(*step);
		}
	}
	assert_int_equal(suspects_is_refused(suspects, 1, now), c->refused);
	assert_int_equal(suspects_is_on_probation(suspects, 1, now), c->on_probation);
	assert_false(suspects_is_refused(suspects, 2, now));
	assert_true(suspects_count(suspects) <= 1);
	suspects_destroy(suspects);
}

static const suspect_case_t suspect_cases[] = {
	{"one crash is not enough", "c", false, true},
	{"two crashes are enough", "cc", true, true},
	{"two calls at one crash count once", "cd", false, true},
	{"one crash here and one at another node are enough", "cl", true, true},
	{"two crashes at other nodes are enough", "ll", true, true},
	{"the refusal ends", "ccw", false, true},
	{"a request that completed recently is exempt", "scc", false, false},
	{"a success clears the crashes", "csc", false, false},
	{"a success at another node clears the crashes", "lac", false, false},
	{"successes at other nodes take no room", "aaa", false, false},
	/* Requests that only shared a target with the one that crashed it. */
	{"a crash of a target that it shared", "r", false, false},
	{"two crashes of a target that it shared are not enough", "rr", false, true},
	{"three crashes of a target that it shared are enough", "rrr", true, true},
	{"five crashes that began while it was running are not enough", "eeeee", false,
	 true},
	{"six crashes that began while it was running are enough", "eeeeee", true, true},
	{"shared targets, and a success between", "rrsr", false, false},
	/* A request that crashes each target must not get two more every half minute. */
	{"one crash after the refusal is enough, also of a shared target", "ccwe", true,
	 true},
	{"the second refusal is longer", "ccwcww", true, true},
	{"the second refusal ends", "ccwcW", false, true},
	{"a success after the refusal clears the crashes", "ccwsc", false, false},
	{"crashes are forgotten", "cmc", false, true},
	{"crashes are forgotten without another one", "cm", false, false},
	{"crashes half a minute apart are not forgotten", "cwc", true, true},
};

typedef struct refusal_case {
	const char *name;
	const char *own; /* steps of the node that takes over a refusal, as above */
	usec_t age;	 /* of the last crash at the other node */
	bool refused;
} refusal_case_t;

/* A node that starts, or returns, takes over the refusals of its peers. */
static void test_take_over(void **state)
{
	const refusal_case_t *c = *state;
	suspects_t *peer = suspects_create();
	suspects_t *own = suspects_create();
	suspect_refusal_t refusals[SUSPECT_REFUSALS_MAX];

	for (uint64_t crash = 1; crash <= 2; crash++)
		suspects_handle_crash(peer, 1, crash, SUSPECT_ALONE, START);
	suspects_handle_crash(peer, 2, 1, SUSPECT_RECENT, START);
	suspects_handle_success(peer, 3, START);
	usec_t now = START + c->age;
	if (*c->own == 's')
		suspects_handle_success(own, 1, now);
	assert_int_equal(suspects_list_refusals(peer, now, refusals), 1);
	suspects_add_refusal(own, &refusals[0], now);
	assert_int_equal(suspects_is_refused(own, 1, now), c->refused);
	assert_int_equal(suspects_is_on_probation(own, 1, now), *c->own != 's');
	assert_int_equal(suspects_count(own), 1);
	suspects_destroy(own);
	suspects_destroy(peer);
}

static const refusal_case_t refusal_cases[] = {
	{"a refusal of a peer", "", 10 * USEC_PER_SEC, true},
	{"a refusal of a peer that is over", "", SUSPECT_REFUSE_TIME, false},
	{"a refusal of a request that completed here", "s", 10 * USEC_PER_SEC, false},
};

typedef struct full_table_case {
	const char *name;
	uint32_t completed; /* other requests that complete before the crashes */
} full_table_case_t;

static void complete_requests(suspects_t *suspects, uint64_t first, uint32_t count,
			      usec_t now)
{
	for (uint64_t id = first; id < first + count; id++)
		suspects_handle_success(suspects, id, now);
}

static void test_crash_with_full_table(void **state)
{
	const full_table_case_t *c = *state;
	suspects_t *suspects = suspects_create();
	usec_t now = START;

	complete_requests(suspects, 1000, c->completed, now);
	for (uint64_t crash = 1; crash <= SUSPECT_CRASH_THRESHOLD; crash++)
		suspects_handle_crash(suspects, 1, crash, SUSPECT_ALONE,
				      now + USEC_PER_SEC);
	assert_true(suspects_is_refused(suspects, 1, now + USEC_PER_SEC));
	complete_requests(suspects, 1000000, c->completed, now + 2 * USEC_PER_SEC);
	assert_true(suspects_is_refused(suspects, 1, now + 2 * USEC_PER_SEC));
	suspects_destroy(suspects);
}

static const full_table_case_t full_table_cases[] = {
	{"a crash suspect is refused after few other requests", 100},
	{"a crash suspect is refused while the table is full", 40000},
};

#define COST_REQUESTS 10000
#define COST_RATIO_MAX 50

typedef struct cost_case {
	const char *name;
	uint32_t kept; /* requests that completed before */
} cost_case_t;

static usec_t completion_cost(uint32_t kept)
{
	suspects_t *suspects = suspects_create();

	complete_requests(suspects, 1, kept, START);
	usec_t before = clock_process_usec();
	complete_requests(suspects, kept + 1, COST_REQUESTS, START + USEC_PER_SEC);
	usec_t cost = clock_process_usec() - before;
	suspects_destroy(suspects);
	return cost;
}

static void test_completion_cost(void **state)
{
	const cost_case_t *c = *state;
	usec_t few = MAX(completion_cost(0), USEC_PER_MSEC);

	assert_true(completion_cost(c->kept) <= COST_RATIO_MAX * few);
}

static const cost_case_t cost_cases[] = {
	{"completing a request costs the same after 20,000 others", 20000},
	{"completing a request costs the same after 100,000 others", 100000},
};

/* --- Claims --------------------------------------------------------------------- */

typedef struct claim_case {
	const char *name;
	claim_state_t state;
	uint64_t fingerprint; /* of the row; the request's is 7 */
	bool body;
	const char *object;
	claim_verdict_t verdict;
} claim_case_t;

static void test_claim(void **state)
{
	const claim_case_t *c = *state;
	claim_row_t row = {.state = c->state,
			   .fingerprint = c->fingerprint,
			   .owner = 9,
			   .status = 201,
			   .headers = headers_create(),
			   .object = g_strdup(c->object)};
	claim_row_t copy;

	headers_add(row.headers, "X-A", "b");
	if (c->body)
		row.body = g_bytes_new("\0x", 2);
	char *text = claim_row_encode(&row);
	assert_true(claim_row_decode(text, &copy));
	assert_int_equal(claim_check(&copy, 7), c->verdict);
	assert_int_equal(copy.owner, 9);
	if (c->body) {
		assert_true(g_bytes_equal(copy.body, row.body));
		assert_int_equal(copy.status, 201);
		assert_string_equal(headers_find(copy.headers, "x-a"), "b");
	}
	claim_row_clear(&copy);
	claim_row_clear(&row);
	free(text);
	assert_false(claim_row_decode("[]", &copy));
	assert_false(claim_row_decode("{", &copy));
}

typedef struct stored_status_case {
	const char *name;
	const char *status; /* JSON */
	bool in_object;
	claim_verdict_t verdict;
} stored_status_case_t;

/* A stored response, also one that was stored by another version of the node, is not
 * given to a caller unless its status is one of a final response. */
static void test_stored_status(void **state)
{
	const stored_status_case_t *c = *state;
	claim_row_t row;
	char *text = g_strdup_printf("{\"state\":\"done\",\"fingerprint\":\"7\","
				     "\"status\":%s,\"%s\":\"b2s=\"}",
				     c->status, c->in_object ? "object" : "body");

	assert_true(claim_row_decode(text, &row));
	assert_int_equal(claim_check(&row, 7), c->verdict);
	assert_int_equal(claim_check(&row, 8), CLAIM_MISMATCH);
	claim_row_clear(&row);
	g_free(text);
}

static const stored_status_case_t stored_status_cases[] = {
	{"stored status 200", "200", false, CLAIM_REPLAY},
	{"stored status 599, in an object", "599", true, CLAIM_FETCH},
	{"stored status 0", "0", false, CLAIM_LOST},
	{"stored status 0, in an object", "0", true, CLAIM_LOST},
	{"stored status 99", "99", false, CLAIM_LOST},
	{"stored status 199", "199", false, CLAIM_LOST},
	{"stored status 600", "600", false, CLAIM_LOST},
	{"stored status 999, in an object", "999", true, CLAIM_LOST},
	{"stored status -1", "-1", false, CLAIM_LOST},
	{"stored status 2^32 + 200", "4294967496", false, CLAIM_LOST},
	{"stored status as text", "\"200\"", false, CLAIM_LOST},
	{"stored status null", "null", false, CLAIM_LOST},
};

static const claim_case_t claim_cases[] = {
	{"a running claim", CLAIM_RUNNING, 7, false, NULL, CLAIM_BUSY},
	{"a response in the row", CLAIM_DONE, 7, true, NULL, CLAIM_REPLAY},
	{"a response in an object", CLAIM_DONE, 7, false, "o", CLAIM_FETCH},
	{"done without a response", CLAIM_DONE, 7, false, NULL, CLAIM_BUSY},
	{"another request under the same key", CLAIM_DONE, 8, true, NULL, CLAIM_MISMATCH},
	{"another request, still running", CLAIM_RUNNING, 8, false, NULL, CLAIM_MISMATCH},
};

int main(void)
{
	int failed = RUN_CASES("fence", fence_cases, test_fence);

	failed += RUN_CASES("fence_orders", interleave_cases, test_interleavings);
	failed += RUN_CASES("suspects", suspect_cases, test_suspect);
	failed += RUN_CASES("suspects_take_over", refusal_cases, test_take_over);
	failed +=
		RUN_CASES("suspects_full", full_table_cases, test_crash_with_full_table);
	failed += RUN_CASES("suspects_cost", cost_cases, test_completion_cost);
	failed += RUN_CASES("claims", claim_cases, test_claim);
	failed += RUN_CASES("stored_status", stored_status_cases, test_stored_status);
	return failed;
}
