#include "accounts/lease.h"

#include <glib.h>

lease_action_t lease_next(const lease_t *lease, usec_t now, bool candidate)
{
	switch (lease->state) {
	case LEASE_NONE:
		return candidate ? LEASE_DO_READ : LEASE_DO_NOTHING;
	case LEASE_OBSERVING:
		if (!candidate)
			return LEASE_DO_GIVE_UP;
		if (now - lease->observed >= LOAN_MARGIN(LEASE_TERM))
			return LEASE_DO_TAKE;
		return LEASE_DO_NOTHING;
	case LEASE_HELD:
		if (now > lease->renewed + 2 * LEASE_TERM &&
		    now > lease->confirmed_until + LEASE_TERM)
			return LEASE_DO_GIVE_UP;
		if (!lease->committing && now - lease->sent >= LEASE_RENEW_PERIOD)
			return LEASE_DO_RENEW;
		return LEASE_DO_NOTHING;
	default:
		return LEASE_DO_NOTHING;
	}
}

void lease_reading(lease_t *lease)
{
	lease->state = LEASE_READING;
}

void lease_observed(lease_t *lease, usec_t now, uint64_t revision, uint64_t epoch,
		    bool released, uint32_t lent_milli)
{
	/* Read again without a change: the row has been lapsing since before. */
	if (lease->state == LEASE_OBSERVING && lease->revision == revision)
		return;
	lease->state = LEASE_OBSERVING;
	lease->revision = revision;
	lease->epoch = epoch;
	lease->successor = revision != 0;
	lease->released = released;
	lease->lent_milli = lent_milli;
	/* A row that nobody holds can be taken at once. */
	lease->observed = revision == 0 || released ? now - LOAN_MARGIN(LEASE_TERM) : now;
}

void lease_sent(lease_t *lease, usec_t now)
{
	if (lease->state == LEASE_OBSERVING)
		lease->state = LEASE_TAKING;
	lease->sent = now;
	lease->committing = true;
}

void lease_committed(lease_t *lease, usec_t now, uint64_t revision)
{
	lease->committing = false;
	lease->revision = revision;
	lease->renewed = lease->sent;
	if (lease->state != LEASE_TAKING)
		return;
	lease->state = LEASE_HELD;
	lease->epoch++;
	lease->confirmed_until = 0;
	/* A holder that released the row confirms nothing any more. */
	lease->acknowledged = !lease->successor || lease->released;
	lease->loans_end = lease->successor ? now + LOAN_MARGIN(LOAN_TERM) : now;
	lease->lend_from = lease->released ? now : lease->loans_end;
}

void lease_failed(lease_t *lease, usec_t now, bool conflict)
{
	(void)now;
	lease->committing = false;
	if (conflict || lease->state == LEASE_TAKING)
		lease_superseded(lease);
}

void lease_confirmed(lease_t *lease, usec_t asked)
{
	if (lease->state == LEASE_HELD)
		lease->confirmed_until =
			MAX(lease->confirmed_until, asked + CONFIRM_TERM);
}

void lease_acknowledged(lease_t *lease, usec_t now)
{
	if (lease->state != LEASE_HELD || lease->acknowledged)
		return;
	lease->acknowledged = true;
	lease->lend_from =
		MAX(lease->lend_from, now + LOAN_MARGIN(CONFIRM_TERM + LOAN_TERM));
}

void lease_superseded(lease_t *lease)
{
	lease->state = LEASE_NONE;
	lease->committing = false;
	lease->confirmed_until = 0;
	lease->acknowledged = false;
}

bool lease_may_lend(const lease_t *lease, usec_t now)
{
	if (lease->state != LEASE_HELD || !lease->acknowledged || now < lease->lend_from)
		return false;
	return now < lease->renewed + LEASE_TERM || now < lease->confirmed_until;
}
