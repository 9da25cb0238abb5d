#include "http/places.h"

struct places {
	TAILQ_HEAD(place_list, place) waiting; /* not busy or stalled, oldest first */
	struct place_list stalled;	       /* oldest first */
	places_limits_t limits;
	GHashTable *addresses; /* address -> number of its places */
	uint32_t address_max;
	uint32_t addresses_over; /* with more than address_max */
	uint32_t count;
	size_t bytes;
	size_t kept_bytes;   /* of those that are busy or stalled */
	uint32_t unfinished; /* heads and bodies */
	size_t unfinished_bytes;
};

static bool is_unfinished(const place_t *place)
{
	return place->state == PLACE_HEAD || place->state == PLACE_BODY;
}

static bool has_response(const place_t *place)
{
	return place->state == PLACE_BUSY || place->state == PLACE_STALLED;
}

places_t *places_create(const places_limits_t *limits)
{
	places_t *places = g_new0(places_t, 1);
	uint64_t share = (uint64_t)limits->places_max * limits->address_share_percent;

	TAILQ_INIT(&places->waiting);
	TAILQ_INIT(&places->stalled);
	places->limits = *limits;
	places->address_max = (uint32_t)MAX(share / 100, 1);
	places->addresses = g_hash_table_new(NULL, NULL);
	return places;
}

void places_destroy(places_t *places)
{
	if (!places)
		return;
	g_hash_table_destroy(places->addresses);
	g_free(places);
}

static uint32_t address_count(const places_t *places, uint32_t address)
{
	return GPOINTER_TO_UINT(
		g_hash_table_lookup(places->addresses, GUINT_TO_POINTER(address)));
}

static void set_address_count(places_t *places, uint32_t address, uint32_t count)
{
	uint32_t before = address_count(places, address);

	if (before <= places->address_max && count > places->address_max)
		places->addresses_over++;
	if (before > places->address_max && count <= places->address_max)
		places->addresses_over--;
	if (count > 0)
		g_hash_table_replace(places->addresses, GUINT_TO_POINTER(address),
				     GUINT_TO_POINTER(count));
	else
		g_hash_table_remove(places->addresses, GUINT_TO_POINTER(address));
}

static struct place_list *list_of(places_t *places, const place_t *place)
{
	return place->state == PLACE_STALLED ? &places->stalled : &places->waiting;
}

static void insert(places_t *places, place_t *place)
{
	places->bytes += place->bytes;
	if (has_response(place))
		places->kept_bytes += place->bytes;
	if (place->state != PLACE_BUSY)
		TAILQ_INSERT_TAIL(list_of(places, place), place, link);
	if (!is_unfinished(place))
		return;
	places->unfinished++;
	places->unfinished_bytes += place->bytes;
}

static void take_out(places_t *places, place_t *place)
{
	places->bytes -= place->bytes;
	if (has_response(place))
		places->kept_bytes -= place->bytes;
	if (place->state != PLACE_BUSY)
		TAILQ_REMOVE(list_of(places, place), place, link);
	if (!is_unfinished(place))
		return;
	places->unfinished--;
	places->unfinished_bytes -= place->bytes;
}

void places_add(places_t *places, place_t *place, uint32_t address, usec_t now)
{
	place->address = address;
	place->state = PLACE_IDLE;
	place->since = now;
	place->bytes = 0;
	places->count++;
	set_address_count(places, address, address_count(places, address) + 1);
	insert(places, place);
}

void places_remove(places_t *places, place_t *place)
{
	take_out(places, place);
	places->count--;
	set_address_count(places, place->address,
			  address_count(places, place->address) - 1);
}

void places_update(places_t *places, place_t *place, place_state_t state, size_t bytes,
		   usec_t now)
{
	if (state != place->state) {
		take_out(places, place);
		place->state = state;
		place->since = now;
		place->bytes = bytes;
		insert(places, place);
		return;
	}
	places->bytes += bytes - place->bytes;
	if (is_unfinished(place))
		places->unfinished_bytes += bytes - place->bytes;
	if (has_response(place))
		places->kept_bytes += bytes - place->bytes;
	place->bytes = bytes;
}

void places_renew(places_t *places, place_t *place, usec_t now)
{
	take_out(places, place);
	place->since = now;
	insert(places, place);
}

uint32_t places_count(const places_t *places)
{
	return places->count;
}

size_t places_memory(const places_t *places)
{
	return places->bytes;
}

bool places_are_full(const places_t *places)
{
	return places->count >= places->limits.places_max;
}

bool places_exceed_memory(const places_t *places)
{
	return places->limits.memory_max > 0 && places->bytes > places->limits.memory_max;
}

bool places_fit_head(const places_t *places, size_t bytes)
{
	size_t kept =
		bytes <= PLACES_SMALL_HEAD_BYTES ? places->kept_bytes : places->bytes;

	return places->limits.memory_max == 0 ||
	       kept + bytes <= places->limits.memory_max;
}

static place_t *choose_stalled(const places_t *places, usec_t now)
{
	place_t *place = TAILQ_FIRST(&places->stalled);

	return place && now - place->since >= PLACES_STALL_TIME ? place : NULL;
}

place_t *places_choose(const places_t *places, usec_t now)
{
	place_t *place;

	if (places->addresses_over > 0) {
		TAILQ_FOREACH(place, &places->waiting, link)
		{
			if (address_count(places, place->address) > places->address_max)
				return place;
		}
	}
	place = TAILQ_FIRST(&places->waiting);
	return place ? place : choose_stalled(places, now);
}

place_t *places_choose_for_memory(const places_t *places, usec_t now)
{
	place_t *place;

	if (places->unfinished == 0)
		return choose_stalled(places, now);
	size_t mean = places->unfinished_bytes / places->unfinished;
	TAILQ_FOREACH(place, &places->waiting, link)
	{
		if (is_unfinished(place) && place->bytes >= mean)
			return place;
	}
	return choose_stalled(places, now);
}

place_t *places_choose_expired(const places_t *places, usec_t now)
{
	place_t *place;

	if (places->limits.head_timeout == 0)
		return NULL;
	TAILQ_FOREACH(place, &places->waiting, link)
	{
		if (now - place->since < places->limits.head_timeout)
			return NULL;
		if (place->state == PLACE_HEAD)
			return place;
	}
	return NULL;
}
