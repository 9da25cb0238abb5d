/* Fences, crash suspects and idempotency claims. */
#include "case.h"

#include "claims/attempts.h"
#include "claims/claim.h"
#include "claims/suspects.h"
#include "http/headers.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define START (1000 * USEC_PER_SEC)

/* --- fence: every order of start, finish and fence --------------------------- */

typedef struct fence_case {
	const char *name;
	const char *steps;   /* s start, e end, f fence, w wait beyond the memory */
	const char *results; /* one for each s and f: y or n */
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
	{"fenced before it starts: it never will", "fs", "yn"},
	{"started: the fence tells the truth", "sf", "yn"},
	{"finished: the fence tells the truth", "sef", "yn"},
	{"a second fence agrees with the first", "ffs", "yyn"},
	{"an attempt starts once", "ss", "yn"},
	{"running beyond the memory is not forgotten", "swf", "yn"},
	{"too old a fence is refused", "o", "n"},
};

/* Every interleaving of a late start with two fences: never both true. */
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

/* --- suspects ------------------------------------------------------------------ */

typedef struct suspect_case {
	const char *name;
	/* c crash in flight, s success, l learnt from another node, w wait */
	const char *steps;
	bool refused;
} suspect_case_t;

static void test_suspect(void **state)
{
	const suspect_case_t *c = *state;
	suspects_t *suspects = suspects_create();
	usec_t now = START;
	uint64_t fresh = 100;

	for (const char *step = c->steps; *step; step++) {
		now += 2 * USEC_PER_SEC;
		if (*step == 'c') {
			uint64_t crash = suspects_crash_id(suspects, ++fresh, now);
			suspects_handle_crash(suspects, 1, crash, now);
		} else if (*step == 'd') {
			/* Another call of the same crash. */
			now -= 2 * USEC_PER_SEC;
			suspects_handle_crash(suspects, 1,
					      suspects_crash_id(suspects, ++fresh, now),
					      now);
		} else if (*step == 'l') {
			suspects_handle_remote_crash(suspects, 1, ++fresh, 0, now);
		} else if (*step == 's') {
			suspects_handle_success(suspects, 1, now);
		} else {
			now += SUSPECT_REFUSE_TIME;
		}
	}
	assert_int_equal(suspects_is_refused(suspects, 1, now), c->refused);
	assert_false(suspects_is_refused(suspects, 2, now));
	suspects_destroy(suspects);
}

static const suspect_case_t suspect_cases[] = {
	{"one crash is not enough", "c", false},
	{"two crashes are", "cc", true},
	{"two calls of one crash count once", "cd", false},
	{"a crash here and one elsewhere", "cl", true},
	{"two crashes elsewhere", "ll", true},
	{"the refusal ends", "ccw", false},
	{"a request that completed lately is not marked", "scc", false},
	{"completing clears the marks", "csc", false},
};

/* --- claims --------------------------------------------------------------------- */

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

static const claim_case_t claim_cases[] = {
	{"a running claim", CLAIM_RUNNING, 7, false, NULL, CLAIM_BUSY},
	{"a kept answer", CLAIM_DONE, 7, true, NULL, CLAIM_REPLAY},
	{"a kept answer in an object", CLAIM_DONE, 7, false, "o", CLAIM_FETCH},
	{"done without an answer", CLAIM_DONE, 7, false, NULL, CLAIM_BUSY},
	{"another request under the same key", CLAIM_DONE, 8, true, NULL, CLAIM_MISMATCH},
	{"another request, still running", CLAIM_RUNNING, 8, false, NULL, CLAIM_MISMATCH},
};

int main(void)
{
	int failed = RUN_CASES("fence", fence_cases, test_fence);

	failed += RUN_CASES("fence_orders", interleave_cases, test_interleavings);
	failed += RUN_CASES("suspects", suspect_cases, test_suspect);
	failed += RUN_CASES("claims", claim_cases, test_claim);
	return failed;
}
