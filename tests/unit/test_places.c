/* Tests which connection is closed for another one. */
#include "case.h"

#include "http/places.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define CONNECTIONS_MAX 8
#define PLACES_MAX 4
#define ADDRESS_SHARE_PERCENT 50
#define MEMORY_MAX 100000
#define HEAD_TIMEOUT (10 * USEC_PER_SEC)

/*
 * A script of steps, each followed by the letter of a connection ('a' is the first one),
 *1 s apart:
 *	+/^  opens it, from address 1 / from address 2
 *	-    closes it
 *	i/h/b/w/s  is idle / has begun a head / a body / waits for its response / has a
 *	     response that the client does not take; holds 1 KB
 *	H/B/W  the same as h, b and w, holding 40 KB
 *	r    is renewed
 *	.    (without a letter) 1 s passes
 */
typedef struct places_case {
	const char *name;
	const char *script;
	char chosen; /* 0: none */
	char chosen_for_memory;
	char expired;
	bool full;
	bool exceeds_memory;
} places_case_t;

static char name_of(const place_t *place, const place_t *all)
{
	return place ? (char)('a' + (place - all)) : 0;
}

static const char *run_step(places_t *places, place_t *all, const char *step, usec_t now)
{
	place_t *place = &all[(step[1] ? step[1] : 'a') - 'a'];

	switch (*step) {
	case '+':
	case '^':
		places_add(places, place, *step == '+' ? 1 : 2, now);
		break;
	case '-':
		places_remove(places, place);
		break;
	case 'r':
		places_renew(places, place, now);
		break;
	case 'i':
		places_update(places, place, PLACE_IDLE, 1000, now);
		break;
	case 'w':
	case 'W':
		places_update(places, place, PLACE_BUSY, *step == 'w' ? 1000 : 40000,
			      now);
		break;
	case 's':
		places_update(places, place, PLACE_STALLED, 1000, now);
		break;
	case 'h':
	case 'H':
		places_update(places, place, PLACE_HEAD, *step == 'h' ? 1000 : 40000,
			      now);
		break;
	case 'b':
	case 'B':
		places_update(places, place, PLACE_BODY, *step == 'b' ? 1000 : 40000,
			      now);
		break;
	case '.':
		return step + 1;
	}
	return step + 2;
}

static void test_case(void **state)
{
	const places_case_t *c = *state;
	places_limits_t limits = {PLACES_MAX, ADDRESS_SHARE_PERCENT, MEMORY_MAX,
				  HEAD_TIMEOUT};
	places_t *places = places_create(&limits);
	place_t all[CONNECTIONS_MAX] = {0};
	usec_t now = USEC_PER_SEC;

	for (const char *step = c->script; *step; now += USEC_PER_SEC)
		step = run_step(places, all, step, now);
	assert_int_equal(name_of(places_choose(places, now), all), c->chosen);
	assert_int_equal(name_of(places_choose_for_memory(places, now), all),
			 c->chosen_for_memory);
	assert_int_equal(name_of(places_choose_expired(places, now), all), c->expired);
	assert_int_equal(places_are_full(places), c->full);
	assert_int_equal(places_exceed_memory(places), c->exceeds_memory);
	places_destroy(places);
}

static const places_case_t cases[] = {
	{"places: none", "", 0, 0, 0, false, false},
	{"places: the oldest idle one", "+a^b", 'a', 0, 0, false, false},
	{"places: not a busy one", "+awa^b", 'b', 0, 0, false, false},
	{"places: nothing if all are busy", "+awa^bwb", 0, 0, 0, false, false},
	{"places: idle again, it is the youngest", "+a^bwaia", 'b', 0, 0, false, false},
	{"places: a head ages from its first byte", "+ahaha^bha", 'a', 'a', 0, false,
	 false},
	{"places: a head takes too long, also with new bytes", "+aha^bhahahahahahahaha",
	 'a', 'a', 'a', false, false},
	{"places: it has time until then", "+aha^b.....", 'a', 'a', 0, false, false},
	{"places: an idle one is not a head", "+a...........", 'a', 0, 0, false, false},
	{"places: a body is not a head", "+aba...........", 'a', 'a', 0, false, false},
	{"places: full", "+a+b^c^d", 'a', 0, 0, true, false},
	{"places: room again", "+a+b^c^d-a", 'b', 0, 0, false, false},
	{"places: an address over its share comes first", "^a+b+c+d", 'b', 0, 0, true,
	 false},
	{"places: until it is within its share", "^a+b+c+d-d", 'a', 0, 0, false, false},
	{"places: unless its connections are busy", "^a+b+c+dwbwcwd", 'a', 0, 0, true,
	 false},
	{"places: memory within the budget", "+aHa^bHb", 'a', 'a', 0, false, false},
	{"places: memory beyond it", "+aHa^bHb+cHc", 'a', 'a', 0, false, true},
	{"places: memory of bodies counts", "+aBa^bHb+cBc", 'a', 'a', 0, false, true},
	{"places: a small one frees nothing", "+aha^bHb+cHc^dHd", 'a', 'b', 0, true,
	 true},
	{"places: an idle one frees nothing", "+a^bHb+cHc^dHd", 'a', 'b', 0, true, true},
	{"places: a stalled response after idle ones", "+asa^b.....", 'b', 'a', 0, false,
	 false},
	{"places: a stalled response before busy ones", "+asa^bwb.....", 'a', 'a', 0,
	 false, false},
	{"places: it has time until then", "+asa^bwb.", 0, 0, 0, false, false},
	{"places: it has time again once bytes are taken", "+asa^bwb...ra..", 0, 0, 0,
	 false, false},
	{"places: the one that is stalled longest", "+asa^bsb......ra.....", 'b', 'b', 0,
	 false, false},
	{"places: memory of an unfinished one before it", "+asa^bhb.....", 'b', 'b', 0,
	 false, false},
	{"places: renewed, it is the youngest", "+a^bra", 'b', 0, 0, false, false},
};

typedef struct head_case {
	const char *name;
	place_state_t state; /* of the connection that holds memory */
	size_t held;
	size_t bytes;
	bool fits;
} head_case_t;

static void test_head(void **state)
{
	const head_case_t *c = *state;
	places_limits_t limits = {PLACES_MAX, ADDRESS_SHARE_PERCENT, MEMORY_MAX,
				  HEAD_TIMEOUT};
	places_t *places = places_create(&limits);
	place_t place = {0};

	places_add(places, &place, 1, 0);
	places_update(places, &place, c->state, c->held, 0);
	assert_int_equal(places_fit_head(places, c->bytes), c->fits);
	places_destroy(places);
}

static const head_case_t head_cases[] = {
	{"head: fits", PLACE_BUSY, 50000, 50000, true},
	{"head: does not fit", PLACE_BUSY, 50001, 50000, false},
	/* An unfinished connection is closed for it. */
	{"head: a small one fits beside unfinished ones", PLACE_HEAD, 200000,
	 PLACES_SMALL_HEAD_BYTES, true},
	{"head: a larger one does not", PLACE_HEAD, 200000, PLACES_SMALL_HEAD_BYTES + 1,
	 false},
	{"head: a small one fits within the budget", PLACE_BUSY,
	 MEMORY_MAX - PLACES_SMALL_HEAD_BYTES, PLACES_SMALL_HEAD_BYTES, true},
	{"head: a small one does not fit beside stalled ones", PLACE_STALLED, 200000,
	 PLACES_SMALL_HEAD_BYTES, false},
	/* Nothing could be closed for it. */
	{"head: a small one does not fit beside busy ones", PLACE_BUSY, 200000,
	 PLACES_SMALL_HEAD_BYTES, false},
};

int main(void)
{
	return RUN_CASES("places", cases, test_case) +
	       RUN_CASES("heads", head_cases, test_head);
}
