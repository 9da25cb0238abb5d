#include "membership/target.h"

#include <glib.h>
#include <string.h>

/* Fraction of the leave timeout in which a leaving target still gets new requests. */
#define LEAVE_ACCEPT_FRACTION 0.75

static bool same_process(const target_report_t *a, const target_report_t *b)
{
	return strcmp(a->id, b->id) == 0 && a->started_ms == b->started_ms &&
	       strcmp(a->address, b->address) == 0 && strcmp(a->service, b->service) == 0;
}

static bool has_left(const target_t *target, const target_report_t *report, usec_t now)
{
	for (uint32_t i = 0; i < MIN(target->left_count, TARGET_LEFT_MAX); i++) {
		const left_process_t *left = &target->left[i];
		if (strcmp(left->id, report->id) == 0 &&
		    (left->any_start_until ? now < left->any_start_until
					   : left->started_ms == report->started_ms))
			return true;
	}
	return false;
}

static void remember_leave(target_t *target, const target_report_t *report,
			   usec_t any_start_until)
{
	if (!*report->id)
		return;
	left_process_t *left = &target->left[target->left_count++ % TARGET_LEFT_MAX];
	g_strlcpy(left->id, report->id, sizeof(left->id));
	left->started_ms = report->started_ms;
	left->any_start_until = any_start_until;
}

static bool is_stale(const target_t *target, const target_report_t *report, usec_t now)
{
	const target_report_t *last = &target->last_report;

	if (has_left(target, report, now) &&
	    !(target->present && same_process(last, report)))
		return true;
	if (!*last->id || strcmp(last->address, report->address) != 0)
		return false;
	if (target->expired && !target->draining)
		return false;
	if (report->started_ms != last->started_ms)
		return report->started_ms < last->started_ms;
	return same_process(last, report) && report->sequence &&
	       report->sequence <= last->sequence;
}

static bool same_state(const target_t *target, const target_report_t *report, usec_t now)
{
	return target->last_report.slots == report->slots &&
	       strcmp(target->last_report.version, report->version) == 0 &&
	       target->last_report.cold_slots == report->cold_slots &&
	       (target->cold_until > now) == (report->cold_time_left > 0);
}

static target_change_t start_leave(target_t *target, usec_t now, usec_t leave_timeout)
{
	if (!target->present || target->draining)
		return TARGET_UNCHANGED;
	target->draining = true;
	target->accepts_until =
		now + (usec_t)((double)leave_timeout * LEAVE_ACCEPT_FRACTION);
	return TARGET_LEAVING;
}

static void note_id_reuse(target_t *target, const target_report_t *report, usec_t now)
{
	const target_report_t *last = &target->last_report;

	if (same_process(last, report))
		return;
	target->id_reused_at = *report->id && strcmp(last->id, report->id) == 0 ? now : 0;
}

target_leave_t target_resolve_leave(target_t *target, target_report_t *report, usec_t now)
{
	const target_report_t *last = &target->last_report;

	if (*report->id && strcmp(report->id, last->id) != 0) {
		remember_leave(target, report, now + LATE_REPORT_TIME);
		return TARGET_LEAVE_OTHER;
	}
	if (target->id_reused_at && now - target->id_reused_at < LATE_REPORT_TIME)
		return TARGET_LEAVE_UNCERTAIN;
	*report = *last;
	report->leaving = true;
	report->sequence++;
	return TARGET_LEAVE_OWN;
}

target_change_t target_apply_report(target_t *target, const target_report_t *report,
				    usec_t now, usec_t leave_timeout)
{
	if (is_stale(target, report, now))
		return TARGET_REPORT_STALE;
	bool same = target->present && same_process(&target->last_report, report);
	bool unchanged = same && same_state(target, report, now);

	note_id_reuse(target, report, now);
	/* Without a start time, a later process looks like the one that left. */
	if (report->leaving && !has_left(target, report, now))
		remember_leave(target, report,
			       report->started_ms ? 0 : now + LATE_REPORT_TIME);
	target->last_report = *report;
	target->last_report_at = now;
	target->expired = false;
	if (report->leaving)
		return same ? start_leave(target, now, leave_timeout) : TARGET_UNCHANGED;
	target->cold_until =
		report->cold_time_left > 0 ? now + report->cold_time_left : 0;
	/* A process that has an id stays draining once it reported that it is leaving. */
	if (same && target->draining && *report->id)
		return TARGET_UNCHANGED;
	bool started = !same || target->draining;
	target->present = true;
	target->draining = false;
	if (started)
		return TARGET_STARTED;
	return unchanged ? TARGET_UNCHANGED : TARGET_CHANGED;
}

const left_process_t *target_last_left(const target_t *target)
{
	for (uint32_t i = 1; i <= MIN(target->left_count, TARGET_LEFT_MAX); i++) {
		const left_process_t *left =
			&target->left[(target->left_count - i) % TARGET_LEFT_MAX];
		if (!left->any_start_until)
			return left;
	}
	return NULL;
}

bool target_add_left(target_t *target, const char *id, uint64_t started_ms, usec_t now,
		     usec_t leave_timeout)
{
	const target_report_t *last = &target->last_report;
	target_report_t left = {.started_ms = started_ms};

	g_strlcpy(left.id, id, sizeof(left.id));
	if (has_left(target, &left, now))
		return false;
	remember_leave(target, &left, 0);
	return strcmp(last->id, id) == 0 && last->started_ms == started_ms &&
	       start_leave(target, now, leave_timeout) == TARGET_LEAVING;
}

bool target_is_same_process(const target_t *target, const target_report_t *report)
{
	return same_process(&target->last_report, report);
}

bool target_accepts_requests(const target_t *target, usec_t now)
{
	return target->present && (!target->draining || now < target->accepts_until);
}

bool target_handle_refusal(target_t *target)
{
	bool was_present = target->present;

	target->present = false;
	return was_present;
}

bool target_expire(target_t *target, usec_t now, usec_t timeout)
{
	if (!target->present || now - target->last_report_at <= timeout)
		return false;
	target->present = false;
	target->expired = true;
	return true;
}
