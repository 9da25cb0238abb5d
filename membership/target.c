#include "membership/target.h"

#include <glib.h>
#include <string.h>

/* Share of the time allowed for a leave after which the node itself refuses. */
#define LEAVE_SHARE 0.75

static bool same_start(const target_report_t *a, const target_report_t *b)
{
	return strcmp(a->id, b->id) == 0 && a->born == b->born &&
	       strcmp(a->address, b->address) == 0 && strcmp(a->service, b->service) == 0;
}

static bool is_stale(const target_t *target, const target_report_t *report)
{
	const target_report_t *last = &target->last;

	if (!*last->id || strcmp(last->address, report->address) != 0)
		return false;
	if (report->born != last->born)
		return report->born < last->born;
	return same_start(last, report) && report->sequence &&
	       report->sequence <= last->sequence;
}

static bool same_state(const target_t *target, const target_report_t *report, usec_t now)
{
	return target->last.slots == report->slots &&
	       target->last.cold_slots == report->cold_slots &&
	       (target->cold_until > now) == (report->cold_left > 0);
}

static target_change_t leave(target_t *target, usec_t now, usec_t leave_within)
{
	if (!target->present || target->draining)
		return TARGET_SAME;
	target->draining = true;
	target->takes_until = now + (usec_t)((double)leave_within * LEAVE_SHARE);
	return TARGET_LEAVES;
}

target_change_t target_take_report(target_t *target, const target_report_t *report,
				   usec_t now, usec_t leave_within)
{
	if (is_stale(target, report))
		return TARGET_REPORT_STALE;
	bool same = target->present && same_start(&target->last, report);
	bool unchanged = same && same_state(target, report, now);

	target->last = *report;
	target->heard = now;
	if (report->leaves)
		return same ? leave(target, now, leave_within) : TARGET_SAME;
	target->cold_until = report->cold_left > 0 ? now + report->cold_left : 0;
	/* A leave is final for a start that has an id. */
	if (same && target->draining && *report->id)
		return TARGET_SAME;
	bool started = !same || target->draining;
	target->present = true;
	target->draining = false;
	if (started)
		return TARGET_STARTED;
	return unchanged ? TARGET_SAME : TARGET_CHANGED;
}

bool target_takes(const target_t *target, usec_t now)
{
	return target->present && (!target->draining || now < target->takes_until);
}

bool target_refuses(target_t *target)
{
	bool news = target->present;

	target->present = false;
	return news;
}

bool target_lapse(target_t *target, usec_t now, usec_t timeout)
{
	if (!target->present || now - target->heard <= timeout)
		return false;
	target->present = false;
	return true;
}
