#include "admission/stop.h"

#include <glib.h>

/* Time for the left state to reach the peers, and for responses to reach the callers,
 * before the process ends. */
#define LEAVE_NOTICE (300 * USEC_PER_MSEC)
/* Time in which an outbound call normally completes. */
#define OUTBOUND_TIME (1 * USEC_PER_SEC)

struct stop {
	stop_phase_t phase;
	usec_t started;
	usec_t phase_started;
	stop_times_t times;
	bool forced;
};

stop_t *stop_create(void)
{
	return g_new0(stop_t, 1);
}

void stop_destroy(stop_t *stop)
{
	g_free(stop);
}

bool stop_begin(stop_t *stop, usec_t now, const stop_times_t *times)
{
	if (stop->phase != STOP_NONE) {
		stop->forced = true;
		return false;
	}
	stop->phase = STOP_NOTICE;
	stop->started = now;
	stop->phase_started = now;
	stop->times = *times;
	return true;
}

static stop_phase_t next_phase(const stop_t *stop, usec_t now, uint32_t in_flight)
{
	usec_t elapsed = now - stop->started;
	bool notified = now - stop->phase_started >= LEAVE_NOTICE;
	bool timed_out = stop->forced || elapsed >= stop->times.drain;

	switch (stop->phase) {
	case STOP_NOTICE:
		return stop->forced || elapsed >= stop->times.withdraw ? STOP_WITHDRAW
								       : STOP_NOTICE;
	case STOP_WITHDRAW:
		return stop->forced || elapsed >= stop->times.notice ? STOP_DRAIN
								     : STOP_WITHDRAW;
	case STOP_DRAIN:
		if (in_flight == 0)
			return STOP_LEAVE;
		return timed_out ? STOP_CANCEL : STOP_DRAIN;
	case STOP_LEAVE:
		if (in_flight > 0)
			return timed_out ? STOP_CANCEL : STOP_LEAVE;
		return stop->forced || notified ? STOP_DONE : STOP_LEAVE;
	case STOP_CANCEL:
		return notified || (stop->forced && in_flight == 0) ? STOP_DONE
								    : STOP_CANCEL;
	default:
		return stop->phase;
	}
}

bool stop_advance(stop_t *stop, usec_t now, uint32_t in_flight)
{
	stop_phase_t next = next_phase(stop, now, in_flight);

	if (next == stop->phase)
		return false;
	stop->phase = next;
	stop->phase_started = now;
	return true;
}

stop_phase_t stop_phase(const stop_t *stop)
{
	return stop->phase;
}

usec_t stop_elapsed(const stop_t *stop, usec_t now)
{
	return stop->phase == STOP_NONE ? 0 : now - stop->started;
}

bool stop_accepts(const stop_t *stop, usec_t now, usec_t deadline, bool is_outbound)
{
	usec_t end = stop->started + stop->times.drain;

	switch (stop->phase) {
	case STOP_NONE:
		return true;
	case STOP_NOTICE:
	case STOP_WITHDRAW:
	case STOP_DRAIN:
	case STOP_LEAVE:
		if (stop->forced)
			return false;
		if (now < stop->started + stop->times.notice)
			return true;
		return deadline <= end || (is_outbound && now + OUTBOUND_TIME <= end);
	default:
		return false;
	}
}

const char *stop_phase_name(stop_phase_t phase)
{
	static const char *const names[] = {
		[STOP_NONE] = "none",	      [STOP_NOTICE] = "notice",
		[STOP_WITHDRAW] = "withdraw", [STOP_DRAIN] = "finish",
		[STOP_LEAVE] = "leave",	      [STOP_CANCEL] = "cancel",
		[STOP_DONE] = "done",
	};

	return names[phase];
}
