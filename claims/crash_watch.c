#include "claims/crash_watch.h"

#include <glib.h>
#include <sys/queue.h>

/* Calls that started within this time before the newest one are equally suspect. */
#define RECENT_SPAN (100 * USEC_PER_MSEC)
/* Calls that are noted this long after a judgement belong to the same crash. */
#define LATE_SPAN USEC_PER_SEC
#define CALLS_MAX 4096

typedef struct lost_call {
	TAILQ_ENTRY(lost_call) link;
	uint64_t fingerprint;
	usec_t started_at;
	usec_t lost_at;
	bool completes; /* if the target proves not to have crashed */
} lost_call_t;

TAILQ_HEAD(lost_call_list, lost_call);

struct crash_watch {
	struct lost_call_list calls; /* in the order of their loss */
	uint32_t count;
	bool proved;
	/* Of the last judgement: its time, the newest start of a suspect, and whether
	 * there was one. */
	usec_t judged_at;
	usec_t newest_start;
	bool had_suspects;
};

crash_watch_t *crash_watch_create(void)
{
	crash_watch_t *watch = g_new0(crash_watch_t, 1);

	TAILQ_INIT(&watch->calls);
	return watch;
}

static void forget_call(crash_watch_t *watch, lost_call_t *call)
{
	TAILQ_REMOVE(&watch->calls, call, link);
	g_free(call);
	watch->count--;
}

static void forget_all(crash_watch_t *watch)
{
	while (!TAILQ_EMPTY(&watch->calls))
		forget_call(watch, TAILQ_FIRST(&watch->calls));
}

void crash_watch_prove(crash_watch_t *watch)
{
	watch->proved = true;
}

void crash_watch_discard(crash_watch_t *watch, crash_completed_fn fn, void *ctx)
{
	lost_call_t *call;

	if (watch->proved)
		return;
	while ((call = TAILQ_FIRST(&watch->calls))) {
		if (call->completes)
			fn(ctx, call->fingerprint);
		forget_call(watch, call);
	}
}

void crash_watch_destroy(crash_watch_t *watch)
{
	if (!watch)
		return;
	forget_all(watch);
	g_free(watch);
}

static void forget_old_calls(crash_watch_t *watch, usec_t now)
{
	lost_call_t *oldest;

	while ((oldest = TAILQ_FIRST(&watch->calls)) &&
	       (now - oldest->lost_at > CRASH_WATCH_TIME || watch->count >= CALLS_MAX))
		forget_call(watch, oldest);
}

static lost_call_t *find_call(const crash_watch_t *watch, uint64_t fingerprint)
{
	lost_call_t *call;

	TAILQ_FOREACH(call, &watch->calls, link)
	{
		if (call->fingerprint == fingerprint)
			return call;
	}
	return NULL;
}

static void add_call(crash_watch_t *watch, uint64_t fingerprint, usec_t started_at,
		     bool completes, usec_t now)
{
	forget_old_calls(watch, now);
	lost_call_t *call = find_call(watch, fingerprint);
	if (call) {
		call->started_at = MAX(call->started_at, started_at);
		call->completes = call->completes && completes;
		return;
	}
	call = g_new0(lost_call_t, 1);
	call->fingerprint = fingerprint;
	call->started_at = started_at;
	call->lost_at = now;
	call->completes = completes;
	TAILQ_INSERT_TAIL(&watch->calls, call, link);
	watch->count++;
}

void crash_watch_add(crash_watch_t *watch, uint64_t fingerprint, usec_t started_at,
		     usec_t now)
{
	add_call(watch, fingerprint, started_at, false, now);
}

void crash_watch_add_ended(crash_watch_t *watch, uint64_t fingerprint, usec_t started_at,
			   usec_t now)
{
	add_call(watch, fingerprint, started_at, true, now);
}

static void forget_exempt_calls(crash_watch_t *watch, const suspects_t *suspects,
				usec_t now)
{
	lost_call_t *call = TAILQ_FIRST(&watch->calls);

	while (call) {
		lost_call_t *next = TAILQ_NEXT(call, link);
		if (suspects_is_exempt(suspects, call->fingerprint, now))
			forget_call(watch, call);
		call = next;
	}
}

static suspect_evidence_t weigh(const crash_watch_t *watch, const lost_call_t *call,
				bool alone)
{
	if (alone)
		return SUSPECT_ALONE;
	return call->started_at >= watch->newest_start - RECENT_SPAN ? SUSPECT_RECENT
								     : SUSPECT_EARLIER;
}

void crash_watch_judge(crash_watch_t *watch, const suspects_t *suspects, usec_t now,
		       crash_suspect_fn fn, void *ctx)
{
	lost_call_t *call;

	watch->proved = false;
	forget_old_calls(watch, now);
	forget_exempt_calls(watch, suspects, now);
	if (TAILQ_EMPTY(&watch->calls))
		return;
	bool is_same_crash = watch->had_suspects && now - watch->judged_at <= LATE_SPAN;
	bool alone = watch->count == 1 && !is_same_crash;
	if (!is_same_crash)
		watch->newest_start = 0;
	TAILQ_FOREACH(call, &watch->calls, link)
	watch->newest_start = MAX(watch->newest_start, call->started_at);
	watch->judged_at = now;
	watch->had_suspects = true;
	while ((call = TAILQ_FIRST(&watch->calls))) {
		fn(ctx, call->fingerprint, weigh(watch, call, alone));
		forget_call(watch, call);
	}
}
