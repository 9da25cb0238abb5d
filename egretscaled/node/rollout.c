#include "egretscaled/node/rollout.h"

#include "common/counters.h"
#include "common/log.h"
#include "common/revision.h"

#include <string.h>

typedef struct order_list {
	node_t *node;
	GPtrArray *services;  /* names */
	GHashTable *versions; /* see node_rollout_list_versions() */
	usec_t now;
} order_list_t;

GHashTable *node_rollout_list_versions(node_t *node)
{
	GHashTable *versions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	const member_t *member;
	void *known;

	/* A node that has just started knows itself only. */
	if (!atomic_load(&node->has_directory))
		return versions;
	pthread_mutex_lock(&node->gossip_lock);
	LIST_FOREACH(member, directory_members(gossip_directory(node->gossip)), link)
	{
		if (member->state == EGRET__MEMBER_STATE__MEMBER_LEFT ||
		    member->target != EGRET__TARGET_STATE__TARGET_UP)
			continue;
		if (!g_hash_table_lookup_extended(versions, member->service, NULL,
						  &known))
			g_hash_table_insert(versions, g_strdup(member->service),
					    g_strdup(member->version));
		else if (g_strcmp0(known, member->version) != 0)
			g_hash_table_insert(versions, g_strdup(member->service), NULL);
	}
	pthread_mutex_unlock(&node->gossip_lock);
	return versions;
}

/* Whether all known instances of the service have the version. */
static bool is_sole(GHashTable *versions, const char *service, const char *version)
{
	return g_strcmp0(g_hash_table_lookup(versions, service), version) == 0;
}

static void log_order(const rollout_order_t *order)
{
	log_rec_t rec;

	log_begin(&rec, LOG_LEVEL_INFO, "rollout");
	log_str(&rec, "change", "ordered");
	log_str(&rec, "service", order->service);
	log_str(&rec, "to", order->to);
	log_int(&rec, "duration_ms", order->duration / USEC_PER_MSEC);
	log_int(&rec, "order", (int64_t)order->id);
	log_end(&rec);
}

static void log_withdrawal(const char *service)
{
	log_rec_t rec;

	log_begin(&rec, LOG_LEVEL_INFO, "rollout");
	log_str(&rec, "change", "withdrawn");
	log_str(&rec, "service", service);
	log_end(&rec);
}

void node_rollout_log(const rollout_status_t *status, const char *source)
{
	log_rec_t rec;

	if (status->state == ROLLOUT_COMPLETED)
		counter_add(COUNTER_ROLLOUT_COMPLETED, 1);
	if (status->state == ROLLOUT_ROLLED_BACK)
		counter_add(COUNTER_ROLLOUT_ROLLED_BACK, 1);
	log_begin(&rec, LOG_LEVEL_INFO, "rollout");
	log_str(&rec, "change", rollout_state_name(status->state));
	log_str(&rec, "source", source);
	log_str(&rec, "service", status->order.service);
	log_str(&rec, "to", status->order.to);
	log_int(&rec, "order", (int64_t)status->order.id);
	log_int(&rec, "elapsed_ms", status->elapsed / USEC_PER_MSEC);
	log_int(&rec, "responses_new", (int64_t)status->responses_new);
	log_int(&rec, "responses_old", (int64_t)status->responses_old);
	log_int(&rec, "bad", (int64_t)status->bad);
	log_int(&rec, "expected_centi", (int64_t)(status->expected * 100));
	log_str(&rec, "by", status->slow ? "time" : "failures");
	log_int(&rec, "nodes", status->nodes);
	log_int(&rec, "sent_new", (int64_t)status->sent_new);
	log_int(&rec, "ended", (int64_t)status->ended);
	log_end(&rec);
}

static void apply_order(void *ctx, const record_t *record)
{
	order_list_t *list = ctx;
	rollout_order_t order = {
		.duration = record->rollout.duration_ms * USEC_PER_MSEC,
		/* Without the era: the row of an order that is restored from a copy of
		 * the store is the same order. */
		.id = revision_version(record->revision),
	};

	g_strlcpy(order.service, record->name, sizeof(order.service));
	g_strlcpy(order.to, record->rollout.to_version, sizeof(order.to));
	g_ptr_array_add(list->services, g_strdup(record->name));
	if (!rollout_set_order(list->node->rollout, &order, list->now))
		return;
	if (is_sole(list->versions, order.service, order.to))
		rollout_set_sole_before(list->node->rollout, order.service);
	log_order(&order);
}

static void collect_service(void *ctx, const rollout_status_t *status)
{
	g_ptr_array_add(ctx, g_strdup(status->order.service));
}

void node_rollout_apply(node_t *node, const config_t *config)
{
	if (!node->rollout)
		return;
	GPtrArray *known = g_ptr_array_new_with_free_func(g_free);
	order_list_t ordered = {node, g_ptr_array_new_with_free_func(g_free),
				node_rollout_list_versions(node), clock_boot_usec()};

	pthread_mutex_lock(&node->router_lock);
	config_foreach(config, RECORD_ROLLOUT, apply_order, &ordered);
	rollout_foreach(node->rollout, ordered.now, collect_service, known);
	for (guint i = 0; i < known->len; i++) {
		if (g_ptr_array_find_with_equal_func(ordered.services, known->pdata[i],
						     g_str_equal, NULL))
			continue;
		rollout_withdraw(node->rollout, known->pdata[i]);
		router_set_idle(node->router, known->pdata[i], NULL, false);
		log_withdrawal(known->pdata[i]);
	}
	node_rollout_refresh(node, ordered.versions, ordered.now);
	pthread_mutex_unlock(&node->router_lock);
	g_ptr_array_free(known, TRUE);
	g_ptr_array_free(ordered.services, TRUE);
	g_hash_table_destroy(ordered.versions);
}

/* The instances of one version that a request may get. */
typedef struct version_filter {
	const char *to;
	bool wants_new;
	GArray *instances; /* of rollout_instance_t: usable ones of the new version */
	bool *used;	   /* for each of these; NULL if all are */
} version_filter_t;

static bool is_new(const version_filter_t *filter, const member_t *member)
{
	return strcmp(member->version, filter->to) == 0;
}

static void add_new_instance(void *ctx, const member_t *member, usec_t since)
{
	(void)since;
	version_filter_t *filter = ctx;
	rollout_instance_t instance = {member->address, member->zone};

	if (is_new(filter, member))
		g_array_append_val(filter->instances, instance);
}

static bool allows(void *ctx, const member_t *member)
{
	const version_filter_t *filter = ctx;

	if (is_new(filter, member) != filter->wants_new)
		return false;
	if (!filter->used)
		return true;
	for (guint i = 0; i < filter->instances->len; i++) {
		if (g_array_index(filter->instances, rollout_instance_t, i).address ==
		    member->address)
			return filter->used[i];
	}
	return false;
}

/* Returns whether an instance was found. */
static bool pick_version(node_t *node, const router_request_t *request, bool wants_new,
			 usec_t now, router_choice_t *out)
{
	router_request_t filtered = *request;
	version_filter_t filter = {
		.to = rollout_version(node->rollout, request->service),
		.wants_new = wants_new,
		.instances = g_array_new(FALSE, FALSE, sizeof(rollout_instance_t)),
	};

	if (wants_new) {
		router_foreach_usable(node->router, request->service, add_new_instance,
				      &filter);
		filter.used = g_new0(bool, filter.instances->len + 1);
		rollout_select(node->rollout, request->service,
			       (const rollout_instance_t *)(void *)filter.instances->data,
			       filter.instances->len, now, filter.used);
	}
	filtered.allows = allows;
	filtered.allows_ctx = &filter;
	router_pick(node->router, &filtered, now, out);
	g_array_free(filter.instances, TRUE);
	g_free(filter.used);
	return *out->address;
}

/* The versions of a service of which an instance became usable before the configuration
 * was last known to be current. */
typedef struct known_versions {
	usec_t as_of;
	GPtrArray *known; /* texts of directory entries */
	bool has_unknown;
} known_versions_t;

static bool is_known(void *ctx, const member_t *member)
{
	const known_versions_t *versions = ctx;

	return g_ptr_array_find_with_equal_func(versions->known, member->version,
						g_str_equal, NULL);
}

static void add_known(void *ctx, const member_t *member, usec_t since)
{
	known_versions_t *versions = ctx;

	if (since <= versions->as_of && !is_known(versions, member))
		g_ptr_array_add(versions->known, (void *)member->version);
}

static void find_unknown(void *ctx, const member_t *member, usec_t since)
{
	known_versions_t *versions = ctx;

	(void)since;
	versions->has_unknown |= !is_known(versions, member);
}

/* The instances of an ordered version may become known before the order. Until the
 * configuration is known to be current, a version that has just appeared therefore gets
 * no requests, unless there is no other. */
static void pick_known_version(node_t *node, const router_request_t *request, usec_t now,
			       router_choice_t *out)
{
	router_request_t filtered = *request;
	known_versions_t versions = {node_config_as_of(node), g_ptr_array_new(), false};

	router_foreach_usable(node->router, request->service, add_known, &versions);
	if (versions.known->len > 0)
		router_foreach_usable(node->router, request->service, find_unknown,
				      &versions);
	if (versions.has_unknown) {
		filtered.allows = is_known;
		filtered.allows_ctx = &versions;
	}
	router_pick(node->router, &filtered, now, out);
	g_ptr_array_free(versions.known, TRUE);
}

void node_rollout_pick(node_t *node, router_request_t *request, usec_t now,
		       router_choice_t *out)
{
	if (!node->rollout) {
		router_pick(node->router, request, now, out);
		return;
	}
	rollout_choice_t choice = rollout_choose(node->rollout, request->service);
	if (choice == ROLLOUT_ANY) {
		pick_known_version(node, request, now, out);
		return;
	}
	bool in_progress =
		rollout_state(node->rollout, request->service) == ROLLOUT_IN_PROGRESS;
	bool found = pick_version(node, request, choice == ROLLOUT_NEW, now, out);
	if (!found && choice == ROLLOUT_NEW && in_progress)
		found = pick_version(node, request, false, now, out);
	if (!found)
		return;
	rollout_handle_send(node->rollout, request->service, out->version);
	if (in_progress &&
	    strcmp(out->version, rollout_version(node->rollout, request->service)) == 0)
		counter_add(COUNTER_ROLLOUT_SENDS, 1);
}

void node_rollout_result(node_t *node, rollout_result_t *result, usec_t since)
{
	config_t *config = node_config(node);
	const service_record_t *service = config_service(config, result->service);
	usec_t cold = service ? service->cold_ms * USEC_PER_MSEC : 0;

	config_unref(config);
	result->cold = result->sent_at - since < cold;
	pthread_mutex_lock(&node->router_lock);
	rollout_handle_result(node->rollout, result);
	pthread_mutex_unlock(&node->router_lock);
}

static void count_new(void *ctx, const member_t *member, usec_t since)
{
	(void)since;
	version_filter_t *filter = ctx;

	filter->wants_new |= is_new(filter, member);
}

void node_rollout_refresh(node_t *node, GHashTable *versions, usec_t now)
{
	GPtrArray *services = g_ptr_array_new_with_free_func(g_free);

	rollout_foreach(node->rollout, now, collect_service, services);
	for (guint i = 0; i < services->len; i++) {
		const char *service = services->pdata[i];
		version_filter_t filter = {.to = rollout_version(node->rollout, service)};

		router_foreach_usable(node->router, service, count_new, &filter);
		rollout_set_available(node->rollout, service, filter.wants_new);
		/* Never set later: the instances of another version may be away. */
		if (!is_sole(versions, service, filter.to))
			rollout_set_sole(node->rollout, service, false);
		router_set_idle(node->router, service, filter.to,
				rollout_state(node->rollout, service) !=
					ROLLOUT_COMPLETED);
	}
	g_ptr_array_free(services, TRUE);
}
