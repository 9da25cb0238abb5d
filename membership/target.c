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

static bool is_stale(const target_t *target, const target_report_t *report)
{
	const target_report_t *last = &target->last_report;

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

target_change_t target_apply_report(target_t *target, const target_report_t *report,
				    usec_t now, usec_t leave_timeout)
{
	if (is_stale(target, report))
		return TARGET_REPORT_STALE;
	bool same = target->present && same_process(&target->last_report, report);
	bool unchanged = same && same_state(target, report, now);

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
