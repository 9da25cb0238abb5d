#include "membership/liveness.h"

void liveness_connect_started(liveness_t *liveness, usec_t now)
{
	liveness->connect_started = now;
}

void liveness_call_sent(liveness_t *liveness, usec_t now, bool first)
{
	if (first && !liveness->silent)
		liveness->last_received = now;
}

bool liveness_received(liveness_t *liveness, usec_t now)
{
	bool silent = liveness->silent;

	liveness->last_received = now;
	liveness->first_ping = 0;
	liveness->silent = false;
	return silent;
}

static bool ping_due(const liveness_t *liveness, usec_t now)
{
	usec_t period =
		liveness->silent ? LIVENESS_SILENT_PING_PERIOD : LIVENESS_PING_AFTER;

	return now - liveness->last_received >= LIVENESS_PING_AFTER &&
	       now - liveness->last_ping >= period;
}

static bool close_due(const liveness_t *liveness, usec_t now, liveness_link_t link)
{
	switch (link) {
	case LIVENESS_OPEN:
		return now - liveness->first_ping >= LIVENESS_CLOSE_TIMEOUT;
	case LIVENESS_CONNECTING:
		return now - liveness->connect_started >= LIVENESS_SILENT_TIMEOUT;
	default:
		return false;
	}
}

liveness_actions_t liveness_check(liveness_t *liveness, usec_t now, bool calls_in_flight,
				  liveness_link_t link)
{
	liveness_actions_t actions = {0};

	if (!calls_in_flight && !liveness->silent) {
		liveness->first_ping = 0;
		return actions;
	}
	if (ping_due(liveness, now)) {
		actions.ping = true;
		liveness->last_ping = now;
		if (!liveness->first_ping)
			liveness->first_ping = now;
	}
	if (!liveness->first_ping || now - liveness->first_ping < LIVENESS_SILENT_TIMEOUT)
		return actions;
	liveness->silent = true;
	actions.silent = true;
	actions.fail_idempotent = link == LIVENESS_OPEN;
	actions.close_link = close_due(liveness, now, link);
	if (actions.close_link)
		liveness->first_ping = now;
	return actions;
}
