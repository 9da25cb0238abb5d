#include "routing/router.h"

#include "common/counters.h"
#include "routing/speed.h"

#include <glib.h>
#include <string.h>

#define EJECT_AFTER_FAILURES 5
#define EJECT_BASE_USEC USEC_PER_SEC
#define EJECT_DOUBLINGS_MAX 5
#define SATURATED_SCORE 1.0
#define SPILL_SCORE_MAX 0.8
#define RAMP_MIN 0.05
#define CHOICES 2
/* With ROUTER_BALANCE_TIME, the share of calls that go to another zone rises between
 * these loads of the local zone. Some instances slow down above 0.95 of their slots. */
#define SPILL_LOAD_START 0.85
#define SPILL_LOAD_FULL 1.0

typedef struct instance {
	member_t member;
	usec_t since;
	uint32_t inflight;
	router_report_t report;
	usec_t reported_at;
	uint32_t failures;
	uint32_t ejections;
	usec_t ejected_until;
	bool silent;
	instance_speed_t speed;
	uint32_t sent_since_report; /* calls of this node */
	bool idle;		    /* see router_set_idle() */
} instance_t;

/* Means of the instances that may get a call. */
typedef struct service_state {
	service_speed_t speed;
	double load_sum;   /* shares of slots in use, by the weight of the reports */
	double weight_sum; /* of the reports */
} service_state_t;

typedef struct zone_status {
	bool in_service;
	/* Start of the ramp; if the zone does not ramp up, ROUTER_ZONE_RAMP_USEC before
	 * the change. */
	usec_t since;
} zone_status_t;

struct router {
	char *own_zone;
	GRand *rand;
	router_balance_t balance;
	service_state_t service; /* of the call being routed, with ROUTER_BALANCE_TIME */
	GHashTable *instances;	 /* address -> instance_t */
	GHashTable *services;	 /* service -> GPtrArray of instance_t */
	GHashTable *zones;	 /* zone -> zone_status_t */
};

static const char *const reason_names[] = {
	[ROUTER_OWN_ZONE] = "own-zone",
	[ROUTER_SPILL] = "spill",
	[ROUTER_LAST_RESORT] = "last-resort",
	[ROUTER_NO_INSTANCE] = "no-instance",
	[ROUTER_SHED] = "shed",
	[ROUTER_AGAIN] = "again",
};

const char *router_reason_name(router_reason_t reason)
{
	return reason_names[reason];
}

static void free_list(void *list)
{
	g_ptr_array_free(list, TRUE);
}

router_t *router_create(const char *own_zone, uint64_t random_seed)
{
	router_t *router = g_new0(router_t, 1);
	guint32 words[2] = {(guint32)random_seed, (guint32)(random_seed >> 32)};

	router->own_zone = g_strdup(own_zone);
	router->rand = g_rand_new_with_seed_array(words, 2);
	router->instances = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	router->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_list);
	router->zones = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return router;
}

void router_destroy(router_t *router)
{
	if (!router)
		return;
	g_hash_table_destroy(router->services);
	g_hash_table_destroy(router->instances);
	g_hash_table_destroy(router->zones);
	g_rand_free(router->rand);
	g_free(router->own_zone);
	g_free(router);
}

void router_set_balance(router_t *router, router_balance_t balance)
{
	router->balance = balance;
}

static bool accepts_calls(const member_t *member)
{
	return member->state <= EGRET__MEMBER_STATE__MEMBER_SUSPECT && member->ready &&
	       member->target == EGRET__TARGET_STATE__TARGET_UP && member->service[0];
}

static GPtrArray *service_list(router_t *router, const char *service)
{
	GPtrArray *list = g_hash_table_lookup(router->services, service);

	if (!list) {
		list = g_ptr_array_new();
		g_hash_table_insert(router->services, g_strdup(service), list);
	}
	return list;
}

static void remove_instance(router_t *router, instance_t *instance)
{
	g_ptr_array_remove_fast(service_list(router, instance->member.service), instance);
	g_hash_table_remove(router->instances, instance->member.address);
}

void router_update(router_t *router, const member_t *member, usec_t now)
{
	instance_t *instance = g_hash_table_lookup(router->instances, member->address);
	bool usable = accepts_calls(member);

	if (instance && (!usable || instance->member.node_id != member->node_id ||
			 strcmp(instance->member.service, member->service) != 0)) {
		remove_instance(router, instance);
		instance = NULL;
	}
	if (!usable)
		return;
	if (instance) {
		if (strcmp(instance->member.version, member->version) != 0)
			instance->since = now;
		instance->member = *member;
		return;
	}
	instance = g_new0(instance_t, 1);
	instance->member = *member;
	instance->since = now;
	instance->report.level = PRIORITY_LEVEL_ALL;
	instance->report.limit = MAX(member->cold_slots, 1);
	g_hash_table_insert(router->instances, instance->member.address, instance);
	g_ptr_array_add(service_list(router, member->service), instance);
}

bool router_set_silent(router_t *router, const char *address, bool silent)
{
	instance_t *instance = g_hash_table_lookup(router->instances, address);

	if (instance)
		instance->silent = silent;
	return instance != NULL;
}

void router_set_idle(router_t *router, const char *service, const char *version,
		     bool same)
{
	GPtrArray *list = g_hash_table_lookup(router->services, service);

	for (guint i = 0; list && i < list->len; i++) {
		instance_t *instance = list->pdata[i];
		instance->idle = version &&
				 (strcmp(instance->member.version, version) == 0) == same;
	}
}

void router_set_zone(router_t *router, const char *zone, bool in_service, usec_t now)
{
	zone_status_t *status = g_hash_table_lookup(router->zones, zone);

	if (status && status->in_service == in_service)
		return;
	bool is_return = status && in_service;
	if (!status) {
		status = g_new0(zone_status_t, 1);
		g_hash_table_insert(router->zones, g_strdup(zone), status);
	}
	status->in_service = in_service;
	/* Only a zone that was out of service ramps up, not one that is new. */
	status->since = is_return ? now : now - ROUTER_ZONE_RAMP_USEC;
}

static const zone_status_t *zone_status(const router_t *router,
					const instance_t *instance)
{
	return g_hash_table_lookup(router->zones, instance->member.zone);
}

static bool zone_in_service(const router_t *router, const instance_t *instance)
{
	const zone_status_t *status = zone_status(router, instance);

	return !status || status->in_service;
}

/* Returns the share of its capacity that a zone takes now, below 1 after its return to
 * service. */
static double zone_ramp(const router_t *router, const instance_t *instance, usec_t now)
{
	const zone_status_t *status = zone_status(router, instance);

	if (!status)
		return 1.0;
	double share = (double)(now - status->since) / (double)ROUTER_ZONE_RAMP_USEC;
	return CLAMP(share, RAMP_MIN, 1.0);
}

static double report_weight(const instance_t *instance, usec_t now)
{
	double age = (double)(now - instance->reported_at) /
		     (double)ROUTER_REPORT_LIFETIME_USEC;

	return CLAMP(1.0 - age, 0.0, 1.0);
}

static priority_t effective_level(const instance_t *instance, usec_t now)
{
	return priority_level_aged(instance->report.level, now - instance->reported_at);
}

/* Returns the share of the instance's slots that is in use or queued for. The part of the
 * report that has lost its weight counts as the mean of the service. Without that, an
 * instance that is new or back would look empty to all nodes at once. The mean is
 * bounded, since a saturated local zone says nothing about zones that got no calls
 * lately. */
static double expected_load(const router_t *router, const instance_t *instance,
			    usec_t now)
{
	const service_state_t *service = &router->service;
	double weight = report_weight(instance, now);
	double limit = MAX(instance->report.limit, 1);
	double mean =
		service->weight_sum > 0 ? service->load_sum / service->weight_sum : 0;
	mean = MIN(mean, SPILL_LOAD_START);
	double reported = instance->report.inflight + (double)instance->report.queued;
	double load = weight * reported + (1.0 - weight) * mean * limit +
		      instance->sent_since_report;

	return MAX(load, instance->inflight) / limit;
}

/* Returns the expected time until a further call completes. The unit is the mean time of
 * the service at an instance whose slots are all in use. */
static double time_score(const router_t *router, const instance_t *instance, usec_t now)
{
	const service_speed_t *speed = &router->service.speed;
	double limit = MAX(instance->report.limit, 1);

	return (expected_load(router, instance, now) + 1.0 / limit) *
	       speed_time_ratio(speed, &instance->speed, now) *
	       speed_failure_factor(speed, &instance->speed, now) /
	       zone_ramp(router, instance, now);
}

/* Returns the load of the instance divided by its capacity; 1 is saturated. The small
 * addend prefers, among equals, the instance with fewer calls of this node. */
static double load_score(const router_t *router, const instance_t *instance, usec_t now)
{
	if (router->balance == ROUTER_BALANCE_TIME)
		return time_score(router, instance, now);
	double weight = report_weight(instance, now);
	double reported = weight * (instance->report.inflight + instance->report.queued);
	double own = instance->inflight;
	double limit = MAX(instance->report.limit, 1);

	return (MAX(reported, own) + 0.01 * own) / limit /
	       zone_ramp(router, instance, now);
}

static bool is_excluded(const router_request_t *request, const instance_t *instance)
{
	for (uint32_t i = 0; i < request->excluded_count; i++) {
		if (strcmp(request->excluded[i], instance->member.address) == 0)
			return true;
	}
	return false;
}

static instance_t *best_of_two(router_t *router, const GPtrArray *list, usec_t now)
{
	instance_t *best = NULL;

	for (int i = 0; i < CHOICES && list->len > 0; i++) {
		gint32 at = g_rand_int_range(router->rand, 0, (gint32)list->len);
		instance_t *instance = list->pdata[at];
		if (!best ||
		    load_score(router, instance, now) < load_score(router, best, now))
			best = instance;
	}
	return best;
}

static void remove_nearly_saturated(const router_t *router, GPtrArray *list, usec_t now)
{
	for (guint i = list->len; i > 0; i--) {
		if (load_score(router, list->pdata[i - 1], now) >= SPILL_SCORE_MAX)
			g_ptr_array_remove_index_fast(list, i - 1);
	}
}

typedef struct candidates {
	GPtrArray *own;
	GPtrArray *other;
	GPtrArray *ejected; /* or suspected: the last resort */
} candidates_t;

static void classify_candidates(router_t *router, const router_request_t *request,
				usec_t now, candidates_t *found, router_choice_t *out)
{
	GPtrArray *list = g_hash_table_lookup(router->services, request->service);

	for (guint i = 0; list && i < list->len; i++) {
		instance_t *instance = list->pdata[i];

		out->candidates++;
		if (!zone_in_service(router, instance))
			out->skipped_zone_out++;
		else if (instance->silent)
			out->skipped_silent++;
		else if (request->allows &&
			 !request->allows(request->allows_ctx, &instance->member))
			out->skipped_version++;
		else if (is_excluded(request, instance))
			out->skipped_excluded++;
		else if (effective_level(instance, now) <= request->priority)
			out->skipped_level++;
		else if (instance->ejected_until > now ||
			 instance->member.state == EGRET__MEMBER_STATE__MEMBER_SUSPECT)
			g_ptr_array_add(found->ejected, instance);
		else if (strcmp(instance->member.zone, router->own_zone) == 0)
			g_ptr_array_add(found->own, instance);
		else
			g_ptr_array_add(found->other, instance);
	}
	out->skipped_ejected = found->ejected->len;
}

static void add_to_service(service_state_t *service, const GPtrArray *list, usec_t now)
{
	for (guint i = 0; i < list->len; i++) {
		const instance_t *instance = list->pdata[i];
		double weight = report_weight(instance, now);
		double load = instance->report.inflight + (double)instance->report.queued;

		service->load_sum += weight * load / MAX(instance->report.limit, 1);
		service->weight_sum += weight;
		service_speed_add(&service->speed, &instance->speed, now);
	}
}

typedef struct zone_load {
	double load;  /* calls in flight or queued */
	double limit; /* calls that can run */
	double free;  /* calls that can run now */
} zone_load_t;

static zone_load_t sum_load(const router_t *router, const GPtrArray *list, usec_t now)
{
	zone_load_t sum = {0};

	for (guint i = 0; i < list->len; i++) {
		const instance_t *instance = list->pdata[i];
		double limit =
			MAX(instance->report.limit, 1) * zone_ramp(router, instance, now);
		double load = expected_load(router, instance, now) *
			      MAX(instance->report.limit, 1);

		sum.load += load;
		sum.limit += limit;
		sum.free += MAX(limit - load, 0);
	}
	return sum;
}

/* Returns the share of the calls that goes to another zone. A function of the local load
 * that rises gradually does not move all calls at once, and falls again when the local
 * zone has capacity. */
static double spill_share(const router_t *router, const candidates_t *found, usec_t now)
{
	zone_load_t own = sum_load(router, found->own, now);
	zone_load_t other = sum_load(router, found->other, now);
	double load = own.limit > 0 ? own.load / own.limit : SPILL_LOAD_FULL;
	double need = (load - SPILL_LOAD_START) / (SPILL_LOAD_FULL - SPILL_LOAD_START);

	if (need <= 0 || other.free <= 0)
		return 0;
	return MIN(need, 1.0) * other.free / (other.free + own.free);
}

/* Chooses an instance of another zone if it is better than `own`, which may be NULL. */
static instance_t *choose_other(router_t *router, candidates_t *found, instance_t *own,
				usec_t now, router_choice_t *out)
{
	instance_t *other = best_of_two(router, found->other, now);
	if (other &&
	    (!own || load_score(router, other, now) < load_score(router, own, now))) {
		out->reason = ROUTER_SPILL;
		return other;
	}
	if (own)
		return own;
	out->reason = ROUTER_LAST_RESORT;
	return best_of_two(router, found->ejected, now);
}

static instance_t *choose_by_time(router_t *router, candidates_t *found, usec_t now,
				  router_choice_t *out)
{
	router->service = (service_state_t){0};
	add_to_service(&router->service, found->own, now);
	add_to_service(&router->service, found->other, now);
	instance_t *own = best_of_two(router, found->own, now);
	out->reason = ROUTER_OWN_ZONE;
	if (own && g_rand_double(router->rand) >= spill_share(router, found, now))
		return own;
	return choose_other(router, found, own, now, out);
}

static instance_t *choose(router_t *router, candidates_t *found, usec_t now,
			  router_choice_t *out)
{
	if (router->balance == ROUTER_BALANCE_TIME)
		return choose_by_time(router, found, now, out);
	instance_t *own = best_of_two(router, found->own, now);

	out->reason = ROUTER_OWN_ZONE;
	if (own && load_score(router, own, now) < SATURATED_SCORE)
		return own;
	if (own)
		remove_nearly_saturated(router, found->other, now);
	return choose_other(router, found, own, now, out);
}

static void fill_choice(instance_t *instance, router_choice_t *out)
{
	instance->inflight++;
	instance->sent_since_report++;
	g_strlcpy(out->address, instance->member.address, sizeof(out->address));
	g_strlcpy(out->zone, instance->member.zone, sizeof(out->zone));
	g_strlcpy(out->version, instance->member.version, sizeof(out->version));
	out->since = instance->since;
	out->node_id = instance->member.node_id;
}

void router_pick_again(router_t *router, const char *service, const char *address,
		       usec_t since, router_choice_t *out)
{
	instance_t *instance = g_hash_table_lookup(router->instances, address);

	memset(out, 0, sizeof(*out));
	out->reason = ROUTER_NO_INSTANCE;
	if (!instance || instance->silent || !zone_in_service(router, instance) ||
	    instance->since != since || strcmp(instance->member.service, service) != 0)
		return;
	out->reason = ROUTER_AGAIN;
	fill_choice(instance, out);
}

void router_pick(router_t *router, const router_request_t *request, usec_t now,
		 router_choice_t *out)
{
	candidates_t found = {g_ptr_array_new(), g_ptr_array_new(), g_ptr_array_new()};

	memset(out, 0, sizeof(*out));
	classify_candidates(router, request, now, &found, out);
	instance_t *instance = choose(router, &found, now, out);
	if (instance) {
		if (router->balance == ROUTER_BALANCE_TIME)
			out->score_milli = (uint32_t)CLAMP(
				1000 * load_score(router, instance, now), 1, 1e9);
		if (out->reason == ROUTER_SPILL)
			counter_add(COUNTER_SPILLS, 1);
		fill_choice(instance, out);
	} else {
		out->reason = out->skipped_level > 0 ? ROUTER_SHED : ROUTER_NO_INSTANCE;
	}
	g_ptr_array_free(found.own, TRUE);
	g_ptr_array_free(found.other, TRUE);
	g_ptr_array_free(found.ejected, TRUE);
}

/* Ejects the instance, unless more than half of the service's instances would then be
 * ejected. */
static void eject(router_t *router, instance_t *instance, usec_t now)
{
	GPtrArray *list = service_list(router, instance->member.service);
	uint32_t ejected = 1;

	for (guint i = 0; i < list->len; i++)
		ejected += ((const instance_t *)list->pdata[i])->ejected_until > now;
	if (ejected * 2 > list->len)
		return;
	usec_t span = EJECT_BASE_USEC << MIN(instance->ejections, EJECT_DOUBLINGS_MAX);
	instance->ejections++;
	instance->ejected_until = now + span;
	instance->failures = 0;
}

void router_done(router_t *router, const char *address, router_outcome_t outcome,
		 const router_report_t *report, usec_t now)
{
	instance_t *instance = g_hash_table_lookup(router->instances, address);

	if (!instance)
		return;
	if (instance->inflight > 0)
		instance->inflight--;
	if (report) {
		instance->report = *report;
		instance->reported_at = now;
		instance->sent_since_report = 0;
		instance_speed_report(&instance->speed, report->response_time_usec, now);
	}
	instance->sent_since_report =
		MIN(instance->sent_since_report, instance->inflight);
	bool failed = outcome == ROUTER_FAILED || (report && report->failed);
	/* A call that the gate refused says nothing about the target. */
	if (failed || outcome == ROUTER_ANSWERED)
		instance_speed_record_call(&instance->speed, failed, now);
	if (outcome == ROUTER_FAILED) {
		/* Calls that were in flight at the ejection do not make it longer: when a
		 * link is cut, they all fail at the same time. */
		if (now >= instance->ejected_until &&
		    ++instance->failures >= EJECT_AFTER_FAILURES)
			eject(router, instance, now);
	} else {
		instance->failures = 0;
		if (outcome == ROUTER_ANSWERED)
			instance->ejections = 0;
	}
}

priority_t router_service_level(router_t *router, const char *service, usec_t now)
{
	GPtrArray *list = g_hash_table_lookup(router->services, service);
	priority_t best = 0;
	bool is_known = false;

	for (guint i = 0; list && i < list->len; i++) {
		const instance_t *instance = list->pdata[i];

		if (instance->idle)
			continue;
		is_known = true;
		best = MAX(best, effective_level(instance, now));
	}
	return is_known ? best : PRIORITY_LEVEL_ALL;
}

double router_service_pressure(router_t *router, const char *service, usec_t now)
{
	GPtrArray *list = g_hash_table_lookup(router->services, service);
	double load = 0;
	double limit = 0;

	for (guint i = 0; list && i < list->len; i++) {
		const instance_t *instance = list->pdata[i];
		double weight = report_weight(instance, now);

		if (!zone_in_service(router, instance) || instance->silent ||
		    instance->idle)
			continue;
		double reported = weight * (instance->report.inflight +
					    (double)instance->report.queued);
		load += MAX(reported, instance->inflight);
		limit += MAX(instance->report.limit, 1);
	}
	return limit > 0 ? load / limit : 0;
}

bool router_has_instance(router_t *router, const char *service)
{
	GPtrArray *list = g_hash_table_lookup(router->services, service);

	for (guint i = 0; list && i < list->len; i++) {
		const instance_t *instance = list->pdata[i];
		if (zone_in_service(router, instance) && !instance->silent)
			return true;
	}
	return false;
}

void router_foreach_usable(router_t *router, const char *service, router_member_fn fn,
			   void *ctx)
{
	GPtrArray *list = g_hash_table_lookup(router->services, service);

	for (guint i = 0; list && i < list->len; i++) {
		const instance_t *instance = list->pdata[i];
		if (zone_in_service(router, instance) && !instance->silent)
			fn(ctx, &instance->member, instance->since);
	}
}

void router_foreach(router_t *router, usec_t now, router_instance_fn fn, void *ctx)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, router->instances);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const instance_t *instance = value;
		router_instance_info_t info = {
			.address = instance->member.address,
			.service = instance->member.service,
			.zone = instance->member.zone,
			.ejected = instance->ejected_until > now,
			.zone_in = zone_in_service(router, instance),
			.inflight = instance->inflight,
			.report = instance->report,
		};
		fn(ctx, &info);
	}
}
