#include "accounts/token_search.h"

#define SHORT_WAIT_MAX (50 * USEC_PER_MSEC)
#define LONG_WAIT_MAX (300 * USEC_PER_MSEC)
#define TRIES_MAX 5
#define HOLDERS_MAX 2
/* Zones that are asked for a token, at most. */
#define LENDERS_MAX 6

void token_search_init(token_search_t *search, uint32_t own_zone, uint32_t zone_count,
		       uint64_t random)
{
	*search = (token_search_t){.own_zone = own_zone};
	for (uint32_t zone = 0; zone < zone_count; zone++) {
		if (zone != own_zone && search->zone_count < TOKEN_SEARCH_ZONES_MAX)
			search->zones[search->zone_count++] = zone;
	}
	for (uint32_t i = search->zone_count; i > 1; i--) {
		uint32_t j = (uint32_t)(random % i);
		uint32_t zone = search->zones[i - 1];
		random = random / i + (random << 32);
		search->zones[i - 1] = search->zones[j];
		search->zones[j] = zone;
	}
}

static token_action_t ask_own_zone(token_search_t *search, bool previous_silent)
{
	token_action_t action = {
		.kind = TOKEN_ASK,
		.zone = search->own_zone,
		.wait_max = search->last ? LONG_WAIT_MAX : SHORT_WAIT_MAX,
		.repeated = search->counted,
		.previous_silent = previous_silent,
	};

	search->tries = 1;
	return action;
}

static token_action_t ask_next_zone(token_search_t *search)
{
	uint32_t lenders = MIN(search->zone_count, LENDERS_MAX);

	if (search->zones_asked < lenders) {
		search->tries = 1;
		return (token_action_t){
			.kind = TOKEN_ASK,
			.zone = search->zones[search->zones_asked++],
			.lend = true,
		};
	}
	if (search->last || search->holders >= HOLDERS_MAX)
		return (token_action_t){.kind = TOKEN_REFUSE};
	search->last = true;
	return ask_own_zone(search, false);
}

static token_action_t handle_timeout(token_search_t *search)
{
	/* Requests to other zones are lost more often, and there are more of them. */
	if (search->zones_asked > 0 && !search->last)
		return ask_next_zone(search);
	if (search->tries < TRIES_MAX) {
		search->tries++;
		return (token_action_t){.kind = TOKEN_ASK_AGAIN};
	}
	if (search->last)
		return (token_action_t){.kind = TOKEN_REFUSE, .previous_silent = true};
	if (++search->holders < HOLDERS_MAX)
		return ask_own_zone(search, true);
	token_action_t action = ask_next_zone(search);
	action.previous_silent = true;
	return action;
}

token_action_t token_search_next(token_search_t *search, token_event_t event)
{
	switch (event) {
	case TOKEN_START:
		return ask_own_zone(search, false);
	case TOKEN_DENIED:
		search->counted = true;
		return ask_next_zone(search);
	case TOKEN_NO_HOLDER:
		if (search->zones_asked == 0)
			search->holders = HOLDERS_MAX;
		return ask_next_zone(search);
	case TOKEN_TIMEOUT:
		return handle_timeout(search);
	case TOKEN_OVER_RATE:
	default:
		return (token_action_t){.kind = TOKEN_REFUSE};
	}
}
