#include "membership/liveness.h"

void liveness_connect(liveness_t *liveness, usec_t now)
{
	liveness->connected = now;
}

void liveness_call(liveness_t *liveness, usec_t now, bool first)
{
	if (first && !liveness->silent)
		liveness->heard = now;
}

bool liveness_hear(liveness_t *liveness, usec_t now)
{
	bool silent = liveness->silent;

	liveness->heard = now;
	liveness->asked = 0;
	liveness->silent = false;
	return silent;
}

static bool ping_due(const liveness_t *liveness, usec_t now)
{
	usec_t period = liveness->silent ? LIVENESS_SILENT_PING : LIVENESS_PING_AFTER;

	return now - liveness->heard >= LIVENESS_PING_AFTER &&
	       now - liveness->last_ping >= period;
}

static bool drop_due(const liveness_t *liveness, usec_t now, liveness_link_t link)
{
	switch (link) {
	case LIVENESS_OPEN:
		return now - liveness->asked >= LIVENESS_GIVE_UP;
	case LIVENESS_CONNECTING:
		return now - liveness->connected >= LIVENESS_SILENT;
	default:
		return false;
	}
}

liveness_step_t liveness_check(liveness_t *liveness, usec_t now, bool waits,
			       liveness_link_t link)
{
	liveness_step_t step = {0};

	if (!waits && !liveness->silent) {
		liveness->asked = 0;
		return step;
	}
	if (ping_due(liveness, now)) {
		step.ping = true;
		liveness->last_ping = now;
		if (!liveness->asked)
			liveness->asked = now;
	}
	if (!liveness->asked || now - liveness->asked < LIVENESS_SILENT)
		return step;
	liveness->silent = true;
	step.silent = true;
	step.release = link == LIVENESS_OPEN;
	step.drop = drop_due(liveness, now, link);
	if (step.drop)
		liveness->asked = now;
	return step;
}
