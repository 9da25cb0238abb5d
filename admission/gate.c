#include "admission/gate.h"

#include "admission/rate_limiter.h"
#include "admission/shed_level.h"
#include "common/counters.h"

/* The queue is checked for expired tickets at most this often. */
#define GATE_EXPIRY_PERIOD (10 * USEC_PER_MSEC)
/* Longest wait of a queued call while the starts of a cold target are rate limited. */
#define COLD_QUEUE_WAIT_MAX_USEC (200 * USEC_PER_MSEC)

struct gate {
	limit_t *limit;
	shed_level_t *shed_level;
	rate_limiter_t *start_limiter;
	GSequence *queue; /* of gate_ticket_t, best priority first */
	/* Of gate_ticket_t, to be returned by gate_next(): shed from a full queue, and
	 * expired in the queue. */
	GQueue shed_tickets;
	GQueue expired_tickets;
	usec_t expiry_checked_at;
	speed_meter_t speed;
	uint32_t inflight;
	uint32_t queue_slots;
	bool open;
	/* Whether a shed level is reported: not with LIMIT_SLOTS, since the calls of such
	 * targets do not carry the priority of their request. */
	bool reports_level;
};

gate_t *gate_create(limit_algorithm_t algorithm)
{
	gate_t *gate = g_new0(gate_t, 1);

	gate->limit = limit_create(algorithm);
	gate->reports_level = algorithm != LIMIT_SLOTS;
	gate->shed_level = shed_level_create();
	gate->start_limiter = rate_limiter_create();
	gate->queue = g_sequence_new(NULL);
	g_queue_init(&gate->shed_tickets);
	g_queue_init(&gate->expired_tickets);
	return gate;
}

void gate_destroy(gate_t *gate)
{
	if (!gate)
		return;
	limit_destroy(gate->limit);
	shed_level_destroy(gate->shed_level);
	rate_limiter_destroy(gate->start_limiter);
	g_sequence_free(gate->queue);
	g_queue_clear(&gate->shed_tickets);
	g_queue_clear(&gate->expired_tickets);
	g_free(gate);
}

void gate_open(gate_t *gate, usec_t now, uint32_t slots, uint32_t cold_slots,
	       uint32_t queue_slots, bool new_start)
{
	if (new_start) {
		limit_start(gate->limit, now, slots, cold_slots);
		gate->speed = (speed_meter_t){0};
	} else {
		limit_set_bounds(gate->limit, slots, cold_slots);
	}
	gate->queue_slots = queue_slots ? queue_slots : slots;
	gate->open = true;
}

void gate_set_cold(gate_t *gate, uint32_t per_second, usec_t until)
{
	rate_limiter_set(gate->start_limiter, per_second, until);
}

void gate_close(gate_t *gate)
{
	gate->open = false;
}

void gate_reset(gate_t *gate, usec_t now)
{
	limit_reset(gate->limit, now);
	counter_add(COUNTER_GATE_RESETS, 1);
}

static int compare_tickets(gconstpointer a, gconstpointer b, gpointer unused)
{
	(void)unused;
	const gate_ticket_t *left = a;
	const gate_ticket_t *right = b;

	return (left->priority > right->priority) - (left->priority < right->priority);
}

static void admit(gate_t *gate, gate_ticket_t *ticket, usec_t now)
{
	ticket->running = TRUE;
	ticket->started = now;
	gate->inflight++;
	rate_limiter_record(gate->start_limiter, now);
	counter_add(COUNTER_GATE_ADMITTED, 1);
}

static bool can_admit(const gate_t *gate, usec_t now)
{
	return gate->inflight < limit_value(gate->limit) &&
	       rate_limiter_allows(gate->start_limiter, now);
}

static void count_shed(gate_t *gate)
{
	shed_level_count_shed(gate->shed_level);
	counter_add(COUNTER_GATE_SHED, 1);
}

static void dequeue(gate_ticket_t *ticket)
{
	g_sequence_remove(ticket->queue_iter);
	ticket->queue_iter = NULL;
}

/* Expected wait behind `ahead` queued calls. */
static usec_t expected_wait(const gate_t *gate, uint32_t ahead)
{
	return limit_latency(gate->limit) * (ahead + 1) / limit_value(gate->limit);
}

static bool can_meet_deadline(const gate_t *gate, const gate_ticket_t *ticket, usec_t now,
			      uint32_t ahead)
{
	usec_t need = limit_latency(gate->limit);

	if (ahead > 0)
		need += expected_wait(gate, ahead);
	return now + need <= ticket->deadline;
}

/* Maximum number of queued calls. While starts are rate limited, a full queue would mean
 * waits of seconds, so the bound is the number of calls that start within
 * COLD_QUEUE_WAIT_MAX_USEC. */
static uint32_t queue_bound(const gate_t *gate, usec_t now)
{
	if (!rate_limiter_is_active(gate->start_limiter, now))
		return gate->queue_slots;
	usec_t startable = rate_limiter_per_second(gate->start_limiter) *
			   COLD_QUEUE_WAIT_MAX_USEC / USEC_PER_SEC;
	return (uint32_t)CLAMP(startable, 1, MAX(gate->queue_slots, 1));
}

static gate_verdict_t enqueue(gate_t *gate, gate_ticket_t *ticket, usec_t now)
{
	uint32_t length = (uint32_t)g_sequence_get_length(gate->queue);

	if (length >= queue_bound(gate, now)) {
		GSequenceIter *last =
			g_sequence_iter_prev(g_sequence_get_end_iter(gate->queue));
		gate_ticket_t *worst = length ? g_sequence_get(last) : NULL;
		if (!worst || worst->priority <= ticket->priority) {
			count_shed(gate);
			return GATE_SHED;
		}
		dequeue(worst);
		count_shed(gate);
		g_queue_push_tail(&gate->shed_tickets, worst);
	}
	ticket->queue_iter =
		g_sequence_insert_sorted(gate->queue, ticket, compare_tickets, NULL);
	uint32_t ahead = (uint32_t)g_sequence_iter_get_position(ticket->queue_iter);
	if (!can_meet_deadline(gate, ticket, now, ahead + 1)) {
		dequeue(ticket);
		count_shed(gate);
		return GATE_EXPIRED;
	}
	shed_level_count_wait(gate->shed_level);
	return GATE_WAIT;
}

gate_verdict_t gate_request(gate_t *gate, gate_ticket_t *ticket, usec_t now)
{
	ticket->queue_iter = NULL;
	ticket->running = FALSE;
	if (!gate->open)
		return GATE_CLOSED;
	shed_level_count_arrival(gate->shed_level, now, ticket->priority);
	if (!can_meet_deadline(gate, ticket, now, 0)) {
		/* With no call in flight, no sample would correct the latency estimate,
		 * so the call is tried unless its deadline has passed. */
		if (gate->inflight > 0 || ticket->deadline <= now) {
			count_shed(gate);
			return GATE_EXPIRED;
		}
	}
	if (can_admit(gate, now) && g_sequence_is_empty(gate->queue)) {
		admit(gate, ticket, now);
		return GATE_RUN;
	}
	return enqueue(gate, ticket, now);
}

void gate_done(gate_t *gate, gate_ticket_t *ticket, usec_t now, usec_t own_latency,
	       limit_outcome_t outcome)
{
	if (!ticket->running)
		return;
	if (limit_sample(gate->limit, now, own_latency, gate->inflight, outcome))
		counter_add(COUNTER_GATE_RESETS, 1);
	ticket->running = FALSE;
	gate->inflight--;
}

void gate_record_response(gate_t *gate, usec_t time, usec_t now)
{
	speed_meter_record(&gate->speed, time, now);
}

void gate_cancel(gate_t *gate, gate_ticket_t *ticket, usec_t now)
{
	counter_add(COUNTER_GATE_CANCELLED, 1);
	if (ticket->running) {
		speed_meter_record_cancelled(&gate->speed, now - ticket->started, now);
		gate_done(gate, ticket, now, 0, LIMIT_IGNORED);
	} else if (ticket->queue_iter) {
		dequeue(ticket);
	} else if (!g_queue_remove(&gate->shed_tickets, ticket)) {
		g_queue_remove(&gate->expired_tickets, ticket);
	}
}

/* Expires the queued tickets that cannot meet their deadline, or could not if they
 * started only at the next check. Their refusals then arrive before the callers time out,
 * and state that the calls did not run. */
static void expire_queued(gate_t *gate, usec_t now)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(gate->queue);

	if (now - gate->expiry_checked_at < GATE_EXPIRY_PERIOD)
		return;
	gate->expiry_checked_at = now;
	while (!g_sequence_iter_is_end(iter)) {
		gate_ticket_t *ticket = g_sequence_get(iter);

		iter = g_sequence_iter_next(iter);
		if (can_meet_deadline(gate, ticket, now + GATE_EXPIRY_PERIOD, 0))
			continue;
		dequeue(ticket);
		count_shed(gate);
		counter_add(COUNTER_GATE_EXPIRED, 1);
		g_queue_push_tail(&gate->expired_tickets, ticket);
	}
}

gate_ticket_t *gate_next(gate_t *gate, usec_t now, gate_verdict_t *verdict)
{
	gate_ticket_t *ticket = g_queue_pop_head(&gate->shed_tickets);

	if (ticket) {
		*verdict = GATE_SHED;
		return ticket;
	}
	expire_queued(gate, now);
	ticket = g_queue_pop_head(&gate->expired_tickets);
	if (ticket) {
		*verdict = GATE_EXPIRED;
		return ticket;
	}
	if (g_sequence_is_empty(gate->queue))
		return NULL;
	ticket = g_sequence_get(g_sequence_get_begin_iter(gate->queue));
	if (!gate->open) {
		dequeue(ticket);
		*verdict = GATE_CLOSED;
		return ticket;
	}
	if (!can_meet_deadline(gate, ticket, now, 0)) {
		dequeue(ticket);
		count_shed(gate);
		counter_add(COUNTER_GATE_EXPIRED, 1);
		*verdict = GATE_EXPIRED;
		return ticket;
	}
	if (!can_admit(gate, now))
		return NULL;
	dequeue(ticket);
	admit(gate, ticket, now);
	*verdict = GATE_RUN;
	return ticket;
}

/* Calls that can run at once. While starts are rate limited: the concurrency that this
 * rate gives at the current latency (Little's law). */
static uint32_t current_capacity(const gate_t *gate, usec_t now)
{
	uint32_t limit = limit_value(gate->limit);

	if (!rate_limiter_is_active(gate->start_limiter, now))
		return limit;
	double concurrency = (double)rate_limiter_per_second(gate->start_limiter) *
			     (double)limit_latency(gate->limit) / USEC_PER_SEC;
	return CLAMP((uint32_t)concurrency, 1, limit);
}

void gate_load(gate_t *gate, usec_t now, gate_load_t *out)
{
	out->level = gate->reports_level ? shed_level_value(gate->shed_level, now)
					 : PRIORITY_LEVEL_ALL;
	out->limit = current_capacity(gate, now);
	out->inflight = gate->inflight;
	out->queued = (uint32_t)g_sequence_get_length(gate->queue);
	out->response_time_usec = speed_meter_value(&gate->speed);
	out->cold = limit_is_cold(gate->limit) ||
		    rate_limiter_is_active(gate->start_limiter, now);
}
