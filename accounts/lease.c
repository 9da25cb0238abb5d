#include "accounts/lease.h"

#include <glib.h>

lease_action_t lease_next_action(const lease_t *lease, usec_t now, bool candidate)
{
	switch (lease->state) {
	case LEASE_NONE:
		return candidate ? LEASE_DO_READ : LEASE_DO_NOTHING;
	case LEASE_OBSERVING:
		if (!candidate)
			return LEASE_DO_DROP;
		if (now - lease->observed_at >= TERM_WITH_MARGIN(LEASE_TERM))
			return LEASE_DO_ACQUIRE;
		return LEASE_DO_NOTHING;
	case LEASE_HELD:
		if (now > lease->renewed_at + 2 * LEASE_TERM &&
		    now > lease->confirmed_until + LEASE_TERM)
			return LEASE_DO_DROP;
		if (!lease->commit_in_flight &&
		    now - lease->commit_sent_at >= LEASE_RENEW_PERIOD)
			return LEASE_DO_RENEW;
		return LEASE_DO_NOTHING;
	default:
		return LEASE_DO_NOTHING;
	}
}

void lease_read_started(lease_t *lease)
{
	lease->state = LEASE_READING;
}

void lease_row_read(lease_t *lease, usec_t now, uint64_t revision, uint64_t epoch,
		    bool released, uint32_t lent_milli)
{
	/* An unchanged row keeps the time of its first read. */
	if (lease->state == LEASE_OBSERVING && lease->revision == revision)
		return;
	lease->state = LEASE_OBSERVING;
	lease->revision = revision;
	lease->epoch = epoch;
	lease->has_predecessor = revision != 0;
	lease->predecessor_released = released;
	lease->predecessor_lent_milli = lent_milli;
	/* A row without a holder can be acquired at once. */
	lease->observed_at =
		revision == 0 || released ? now - TERM_WITH_MARGIN(LEASE_TERM) : now;
}

void lease_commit_sent(lease_t *lease, usec_t now)
{
	if (lease->state == LEASE_OBSERVING)
		lease->state = LEASE_ACQUIRING;
	lease->commit_sent_at = now;
	lease->commit_in_flight = true;
}

void lease_commit_succeeded(lease_t *lease, usec_t now, uint64_t revision)
{
	lease->commit_in_flight = false;
	lease->revision = revision;
	lease->renewed_at = lease->commit_sent_at;
	if (lease->state != LEASE_ACQUIRING)
		return;
	lease->state = LEASE_HELD;
	lease->epoch++;
	lease->confirmed_until = 0;
	/* A predecessor that released the row does not lend by confirmation any more. */
	lease->acknowledged = !lease->has_predecessor || lease->predecessor_released;
	lease->predecessor_loans_end =
		lease->has_predecessor ? now + TERM_WITH_MARGIN(LOAN_TERM) : now;
	lease->lend_from =
		lease->predecessor_released ? now : lease->predecessor_loans_end;
}

void lease_commit_failed(lease_t *lease, usec_t now, bool conflict)
{
	(void)now;
	lease->commit_in_flight = false;
	if (conflict || lease->state == LEASE_ACQUIRING)
		lease_drop(lease);
}

void lease_confirmed(lease_t *lease, usec_t round_sent_at)
{
	if (lease->state == LEASE_HELD)
		lease->confirmed_until =
			MAX(lease->confirmed_until, round_sent_at + CONFIRM_TERM);
}

void lease_acknowledged(lease_t *lease, usec_t now)
{
	if (lease->state != LEASE_HELD || lease->acknowledged)
		return;
	lease->acknowledged = true;
	lease->lend_from =
		MAX(lease->lend_from, now + TERM_WITH_MARGIN(CONFIRM_TERM + LOAN_TERM));
}

void lease_drop(lease_t *lease)
{
	lease->state = LEASE_NONE;
	lease->commit_in_flight = false;
	lease->confirmed_until = 0;
	lease->acknowledged = false;
}

bool lease_may_lend(const lease_t *lease, usec_t now)
{
	if (lease->state != LEASE_HELD || !lease->acknowledged || now < lease->lend_from)
		return false;
	return now < lease->renewed_at + LEASE_TERM || now < lease->confirmed_until;
}
