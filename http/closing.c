#include "http/closing.h"

#include "common/counters.h"
#include "common/log.h"

#include <arpa/inet.h>

#define LINE_PERIOD USEC_PER_SEC

static const struct {
	counter_id_t counter;
	const char *name;
} reasons[] = {
	[CLOSING_PLACE] = {COUNTER_CLOSED_FOR_PLACE, "place"},
	[CLOSING_MEMORY] = {COUNTER_CLOSED_FOR_MEMORY, "memory"},
	[CLOSING_HEAD_TIMEOUT] = {COUNTER_CLOSED_HEAD_TIMEOUT, "head-timeout"},
	[CLOSING_HEAD_REFUSED] = {COUNTER_HEADS_REFUSED, "head-refused"},
};

static const char *const state_names[] = {
	[PLACE_BUSY] = "busy", [PLACE_IDLE] = "idle",	    [PLACE_HEAD] = "head",
	[PLACE_BODY] = "body", [PLACE_STALLED] = "stalled",
};

void closing_note(closing_log_t *log, closing_reason_t reason, const places_t *places,
		  const place_t *place, usec_t now)
{
	struct in_addr address = {place->address};
	char text[INET_ADDRSTRLEN];
	log_rec_t rec;

	counter_add(reasons[reason].counter, 1);
	if (now < log->reasons[reason].next_line) {
		log->reasons[reason].suppressed++;
		return;
	}
	log_begin(&rec, LOG_LEVEL_WARN, "connection");
	log_str(&rec, "closed_for", reasons[reason].name);
	log_str(&rec, "listener", log->listener);
	log_str(&rec, "client", inet_ntop(AF_INET, &address, text, sizeof(text)));
	log_str(&rec, "state", state_names[place->state]);
	log_int(&rec, "age_usec", now - place->since);
	log_int(&rec, "bytes", (int64_t)place->bytes);
	log_int(&rec, "open", places_count(places));
	log_int(&rec, "total_bytes", (int64_t)places_memory(places));
	log_int(&rec, "not_logged", log->reasons[reason].suppressed);
	log_end(&rec);
	log->reasons[reason].next_line = now + LINE_PERIOD;
	log->reasons[reason].suppressed = 0;
}
