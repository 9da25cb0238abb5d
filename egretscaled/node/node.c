#include "egretscaled/node/node.h"

#include "claims/crash_watch.h"
#include "common/counters.h"
#include "common/log.h"
#include "common/revision.h"
#include "config/freshness.h"
#include "egretscaled/node/accounts.h"

#include "platform/store.h"

#include <sodium.h>
#include <string.h>

#define TARGET_HEARTBEAT_TIMEOUT (5 * USEC_PER_SEC)
/* The gate admits requests to a cold target at this fraction of the allowed rate, because
 * they arrive unevenly. */
#define COLD_RATE_FACTOR 0.85

uint64_t node_random_id(void)
{
	uint64_t id;

	do
		randombytes_buf(&id, sizeof(id));
	while (id == 0);
	return id;
}

store_t *node_store_create(const node_t *node, curl_loop_t *loop)
{
	const settings_t *settings = node->settings;

	return platform_store_create(loop, settings->platform_url,
				     settings->on_platform ? RECORD_SOURCE_OPERATOR_CONFIG
							   : RECORD_SOURCE_ROWS,
				     (const char *const *)settings->zones);
}

static void init_locks(node_t *node)
{
	pthread_mutex_init(&node->gossip_lock, NULL);
	pthread_mutex_init(&node->config_lock, NULL);
	pthread_mutex_init(&node->account_lock, NULL);
	pthread_mutex_init(&node->gate_lock, NULL);
	pthread_mutex_init(&node->inflight_lock, NULL);
	pthread_mutex_init(&node->router_lock, NULL);
	pthread_mutex_init(&node->suspect_lock, NULL);
	pthread_mutex_init(&node->stop_lock, NULL);
}

static void fill_self(node_t *node, member_t *self)
{
	memset(self, 0, sizeof(*self));
	g_strlcpy(self->address, node->address, sizeof(self->address));
	g_strlcpy(self->zone, node->settings->zone, sizeof(self->zone));
	self->node_id = node->node_id;
	self->generation = (uint64_t)(clock_wall_usec() / USEC_PER_MSEC);
	self->state = EGRET__MEMBER_STATE__MEMBER_ALIVE;
}

node_t *node_create(settings_t *settings, const node_ops_t *ops, GError **error)
{
	peer_auth_t *auth =
		settings->peer_secret_file
			? peer_auth_create(settings->peer_secret_file, error)
			: peer_auth_create_fixed(settings->peer_secret, error);
	member_t self;

	if (!auth)
		return NULL;
	node_t *node = g_new0(node_t, 1);
	node->settings = settings;
	node->ops = ops;
	node->old_bounds = g_ptr_array_new_with_free_func(g_free);
	atomic_init(&node->bounds, &settings->bounds);
	node->auth = auth;
	node->gossip_fd = -1;
	node->node_id = node_random_id();
	address_format(&settings->peer_listen, node->address);
	init_locks(node);
	fill_self(node, &self);
	node->gossip = gossip_create(&self, (const char *const *)settings->seeds,
				     ops->gossip, node, node_random_id());
	node->config_log = config_log_create();
	node->config = config_build(node->config_log);
	node->accounts = accounts_create();
	if (settings->on_platform)
		node->zone_rates = zone_rates_create(node->address, settings->zone,
						     (const char *const *)settings->zones,
						     clock_boot_usec());
	node->gate = gate_create(settings->on_platform ? LIMIT_SLOTS : LIMIT_GRADIENT);
	node->inflight = inflight_table_create();
	node->attempts = attempts_create();
	node->router = router_create(settings->zone, node_random_id());
	router_set_balance(node->router, settings->balance);
	if (settings->bounds.canary_share > 0)
		node->rollout =
			rollout_create(settings->bounds.canary_share,
				       settings->bounds.rollback_time, node->node_id);
	node->backpressure = backpressure_create();
	node->route_breaker = route_breaker_create();
	node->completion_limit = completion_limit_create(settings->bounds.retry_window);
	node->outbound_calls = route_calls_create();
	node->retry_budgets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	node->resends = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      (GDestroyNotify)resends_destroy);
	node->suspects = suspects_create();
	node->crash_watch = crash_watch_create();
	node->stop = stop_create();
	return node;
}

void node_destroy(node_t *node)
{
	if (!node)
		return;
	gossip_destroy(node->gossip);
	config_unref(node->config);
	config_log_destroy(node->config_log);
	accounts_destroy(node->accounts);
	zone_rates_destroy(node->zone_rates);
	gate_destroy(node->gate);
	inflight_table_destroy(node->inflight);
	attempts_destroy(node->attempts);
	router_destroy(node->router);
	rollout_destroy(node->rollout);
	backpressure_destroy(node->backpressure);
	completion_limit_destroy(node->completion_limit);
	route_breaker_destroy(node->route_breaker);
	route_calls_destroy(node->outbound_calls);
	g_hash_table_destroy(node->retry_budgets);
	g_hash_table_destroy(node->resends);
	suspects_destroy(node->suspects);
	crash_watch_destroy(node->crash_watch);
	stop_destroy(node->stop);
	peer_auth_destroy(node->auth);
	g_free(node->workers);
	g_ptr_array_free(node->old_bounds, TRUE);
	g_free(node->tls_cert);
	g_free(node->tls_key);
	g_free(node);
}

const bounds_t *node_bounds(const node_t *node)
{
	return atomic_load(&node->bounds);
}

void node_apply_settings(node_t *node, const settings_t *settings)
{
	bounds_t *bounds = g_memdup2(&settings->bounds, sizeof(settings->bounds));

	g_ptr_array_add(node->old_bounds, bounds);
	atomic_store(&node->bounds, bounds);
	pthread_mutex_lock(&node->gossip_lock);
	for (char **seed = settings->seeds; seed && *seed; seed++)
		gossip_add_seed(node->gossip, *seed);
	pthread_mutex_unlock(&node->gossip_lock);
}

config_t *node_config(node_t *node)
{
	pthread_mutex_lock(&node->config_lock);
	config_t *config = config_ref(node->config);
	pthread_mutex_unlock(&node->config_lock);
	return config;
}

static void log_config(uint64_t revision, size_t changed, const char *source)
{
	log_rec_t rec;

	log_begin(&rec, LOG_LEVEL_INFO, "config");
	log_int(&rec, "era", (int64_t)revision_era(revision));
	log_int(&rec, "revision", (int64_t)revision_version(revision));
	log_int(&rec, "changed", (int64_t)changed);
	log_str(&rec, "source", source);
	log_end(&rec);
}

static void apply_zone(void *ctx, const record_t *record)
{
	node_t *node = ctx;

	router_set_zone(node->router, record->name, record->zone.in_service,
			clock_boot_usec());
}

/* Collects the zones that are out of service in the router. */
static void collect_zone_out_of_service(void *ctx, const router_instance_info_t *info)
{
	GPtrArray *zones = ctx;

	if (!info->zone_in)
		g_ptr_array_add(zones, g_strdup(info->zone));
}

static void apply_zones(node_t *node, const config_t *config)
{
	GPtrArray *out = g_ptr_array_new_with_free_func(g_free);
	usec_t now = clock_boot_usec();

	pthread_mutex_lock(&node->router_lock);
	config_foreach(config, RECORD_AVAILABILITY_ZONE, apply_zone, node);
	router_foreach(node->router, now, collect_zone_out_of_service, out);
	/* A zone whose record was retired returns to service. */
	for (guint i = 0; i < out->len; i++) {
		if (config_zone_in_service(config, out->pdata[i]))
			router_set_zone(node->router, out->pdata[i], true, now);
	}
	pthread_mutex_unlock(&node->router_lock);
	g_ptr_array_free(out, TRUE);
}

/* Opens the gate with the slots of the target's last report. Under gate_lock. */
static void open_gate(node_t *node, const service_record_t *service, usec_t now,
		      bool new_start)
{
	const target_report_t *last = &node->target.last_report;
	uint32_t cold_slots = last->slots;

	if (node_cancels_requests(node))
		return;
	if (last->cold_slots)
		cold_slots = service ? service->cold_slots : last->cold_slots;
	gate_open(node->gate, now, last->slots, cold_slots,
		  service ? service->queue_slots : 0, new_start);
}

/* Limits the rate of requests to a cold target. Under gate_lock. */
static void set_cold_rate(node_t *node, const service_record_t *service)
{
	const bounds_t *bounds = node_bounds(node);

	if (!service || service->cold_rate <= 0)
		return;
	gate_set_cold(
		node->gate,
		(uint32_t)(service->cold_rate * bounds->cold_overage * COLD_RATE_FACTOR),
		node->target.cold_until);
}

static void apply_service(node_t *node, const config_t *config)
{
	pthread_mutex_lock(&node->gate_lock);
	const service_record_t *service =
		config_service(config, node->target.last_report.service);
	if (node->target.present && !node->target.draining && service)
		open_gate(node, service, clock_boot_usec(), false);
	/* The report may have arrived before the configuration with the cold rate. */
	if (node->target.present)
		set_cold_rate(node, service);
	pthread_mutex_unlock(&node->gate_lock);
}

/* Puts the merged rows in force; called with config_lock held, which it releases. */
static void put_in_force(node_t *node, size_t changed, uint64_t revision,
			 const char *source)
{
	config_t *old = node->config;

	node->config = config_build(node->config_log);
	config_t *current = config_ref(node->config);
	pthread_mutex_unlock(&node->config_lock);
	config_unref(old);
	counter_add(COUNTER_CONFIG_CHANGES, changed);
	apply_zones(node, current);
	apply_service(node, current);
	node->ops->on_config(node, current);
	config_unref(current);
	log_config(revision, changed, source);
	pthread_mutex_lock(&node->gossip_lock);
	gossip_push(node->gossip, clock_boot_usec());
	pthread_mutex_unlock(&node->gossip_lock);
}

bool node_apply_config(node_t *node, const node_config_row_t *rows, size_t count,
		       uint64_t revision, const char *source)
{
	size_t changed = 0;

	pthread_mutex_lock(&node->config_lock);
	if (!config_log_begin(node->config_log, revision, clock_boot_usec())) {
		pthread_mutex_unlock(&node->config_lock);
		return false;
	}
	for (size_t i = 0; i < count; i++)
		changed += config_log_merge(node->config_log, rows[i].key,
					    rows[i].revision, rows[i].value);
	bool advanced = revision > config_log_revision(node->config_log);
	config_log_advance(node->config_log, revision);
	if (changed > 0 || advanced)
		put_in_force(node, changed, revision, source);
	else
		pthread_mutex_unlock(&node->config_lock);
	return true;
}

void node_release_config(node_t *node)
{
	pthread_mutex_lock(&node->config_lock);
	size_t changed = config_log_release(node->config_log, clock_boot_usec());
	if (changed > 0)
		put_in_force(node, changed, config_log_revision(node->config_log),
			     "restored");
	else
		pthread_mutex_unlock(&node->config_lock);
}

bool node_confirm_config(node_t *node, usec_t as_of)
{
	usec_t step = freshness_step(node_bounds(node)->config_apply_time);

	if (as_of <= atomic_load(&node->config_as_of))
		return false;
	atomic_store(&node->config_as_of, as_of);
	if (as_of - node->config_as_of_sent < step)
		return false;
	node->config_as_of_sent = as_of;
	return true;
}

usec_t node_config_as_of(const node_t *node)
{
	return atomic_load(&node->config_as_of);
}

void node_check_ready(node_t *node)
{
	config_t *config = node_config(node);
	bool complete =
		!node->settings->on_platform || config_snapshot_revision(config) > 0;

	config_unref(config);
	complete = complete && atomic_load(&node->has_config) &&
		   atomic_load(&node->has_node_list) && atomic_load(&node->has_directory);
	if (complete && !atomic_exchange(&node->ready, true))
		node_update_member(node);
}

void node_clear_ready(node_t *node)
{
	atomic_store(&node->has_config, false);
	atomic_store(&node->ready, false);
}

void node_update_member(node_t *node)
{
	usec_t now = clock_boot_usec();
	target_t target;

	pthread_mutex_lock(&node->gossip_lock);
	member_t fields = *directory_self(gossip_directory(node->gossip));
	pthread_mutex_lock(&node->account_lock);
	for (uint32_t i = 0; i < KEEPER_PARTITIONS; i++) {
		const lease_t *lease = keeper_lease(node->accounts->keeper, i);
		fields.keeper_epochs[i] = lease->state == LEASE_HELD ? lease->epoch : 0;
	}
	pthread_mutex_unlock(&node->account_lock);
	pthread_mutex_lock(&node->gate_lock);
	target = node->target;
	pthread_mutex_unlock(&node->gate_lock);
	bool withdrawn = atomic_load(&node->withdrawn);
	fields.ready = atomic_load(&node->ready) && !withdrawn;
	fields.target = EGRET__TARGET_STATE__TARGET_NONE;
	const left_process_t *left = target_last_left(&target);
	if (left) {
		g_strlcpy(fields.left_id, left->id, sizeof(fields.left_id));
		fields.left_started_ms = left->started_ms;
	}
	/* Until then the target may be one that left before this node started. */
	if (target.present && atomic_load(&node->has_directory)) {
		bool draining = target.draining || withdrawn;
		g_strlcpy(fields.service, target.last_report.service,
			  sizeof(fields.service));
		/* Without roll-outs, nobody reads it. */
		if (node->rollout)
			g_strlcpy(fields.version, target.last_report.version,
				  sizeof(fields.version));
		fields.target = draining ? EGRET__TARGET_STATE__TARGET_DRAINING
					 : EGRET__TARGET_STATE__TARGET_UP;
		fields.slots = target.last_report.slots;
		fields.cold_slots = target.last_report.cold_slots
					    ? target.last_report.cold_slots
					    : fields.slots;
	}
	gossip_update_self(node->gossip, now, &fields);
	const member_t *self = directory_self(gossip_directory(node->gossip));
	pthread_mutex_lock(&node->router_lock);
	router_update(node->router, self, now);
	pthread_mutex_unlock(&node->router_lock);
	pthread_mutex_unlock(&node->gossip_lock);
}

static void log_target(const target_t *target, const char *change)
{
	const target_report_t *last = &target->last_report;
	log_rec_t rec;

	log_begin(&rec, LOG_LEVEL_INFO, "target");
	log_str(&rec, "change", change);
	log_str(&rec, "id", last->id);
	log_int(&rec, "born", (int64_t)last->started_ms);
	log_int(&rec, "sequence", (int64_t)last->sequence);
	log_str(&rec, "service", last->service);
	log_str(&rec, "address", last->address);
	log_int(&rec, "slots", last->slots);
	log_int(&rec, "cold_ms", last->cold_time_left / USEC_PER_MSEC);
	log_end(&rec);
}

void node_handle_target_report(node_t *node, const target_report_t *report)
{
	static const char *const change_names[] = {
		[TARGET_REPORT_STALE] = "stale", [TARGET_UNCHANGED] = "same",
		[TARGET_STARTED] = "start",	 [TARGET_CHANGED] = "change",
		[TARGET_LEAVING] = "leave",
	};
	config_t *config = node_config(node);
	const service_record_t *service = config_service(config, report->service);
	usec_t now = clock_boot_usec();

	pthread_mutex_lock(&node->gate_lock);
	bool same_process = target_is_same_process(&node->target, report);
	target_change_t change = target_apply_report(&node->target, report, now,
						     node_bounds(node)->leave_time);
	if (change == TARGET_STARTED || change == TARGET_CHANGED)
		open_gate(node, service, now, change == TARGET_STARTED);
	if (change != TARGET_REPORT_STALE)
		set_cold_rate(node, service);
	target_t target = node->target;
	pthread_mutex_unlock(&node->gate_lock);
	config_unref(config);
	if (change != TARGET_REPORT_STALE && *report->id)
		node->ops->on_target_report(node, same_process);
	if (change == TARGET_UNCHANGED)
		return;
	log_target(&target, change_names[change]);
	if (change == TARGET_REPORT_STALE)
		return;
	node_update_member(node);
	node_run_gate(node);
}

void node_handle_target_refusal(node_t *node)
{
	pthread_mutex_lock(&node->gate_lock);
	bool changed = target_handle_refusal(&node->target);
	if (changed)
		gate_close(node->gate);
	target_t target = node->target;
	pthread_mutex_unlock(&node->gate_lock);
	if (!changed)
		return;
	log_target(&target, "refuses");
	node_update_member(node);
	node_run_gate(node);
}

target_leave_t node_resolve_leave(node_t *node, target_report_t *report)
{
	pthread_mutex_lock(&node->gate_lock);
	target_leave_t leave =
		target_resolve_leave(&node->target, report, clock_boot_usec());
	pthread_mutex_unlock(&node->gate_lock);
	return leave;
}

void node_add_left_process(node_t *node, const char *id, uint64_t started_ms)
{
	pthread_mutex_lock(&node->gate_lock);
	bool leaves = target_add_left(&node->target, id, started_ms, clock_boot_usec(),
				      node_bounds(node)->leave_time);
	target_t target = node->target;
	pthread_mutex_unlock(&node->gate_lock);
	if (!leaves)
		return;
	log_target(&target, "leave, acknowledged before the restart");
	node_update_member(node);
}

void node_check_target(node_t *node)
{
	usec_t now = clock_boot_usec();

	pthread_mutex_lock(&node->gate_lock);
	bool expired = target_expire(&node->target, now, TARGET_HEARTBEAT_TIMEOUT);
	bool accepts = target_accepts_requests(&node->target, now);
	if (!accepts)
		gate_close(node->gate);
	target_t target = node->target;
	pthread_mutex_unlock(&node->gate_lock);
	if (expired) {
		log_target(&target, "lost");
		node_update_member(node);
	}
	if (!accepts)
		node_run_gate(node);
}

bool node_accepts(node_t *node, usec_t deadline, bool is_outbound)
{
	if (!atomic_load(&node->draining))
		return true;
	pthread_mutex_lock(&node->stop_lock);
	bool accepts = stop_accepts(node->stop, clock_boot_usec(), deadline, is_outbound);
	pthread_mutex_unlock(&node->stop_lock);
	return accepts;
}

bool node_cancels_requests(node_t *node)
{
	if (!atomic_load(&node->draining))
		return false;
	pthread_mutex_lock(&node->stop_lock);
	bool cancels = stop_phase(node->stop) >= STOP_CANCEL;
	pthread_mutex_unlock(&node->stop_lock);
	return cancels;
}

usec_t node_stop_elapsed(node_t *node)
{
	pthread_mutex_lock(&node->stop_lock);
	usec_t elapsed = stop_elapsed(node->stop, clock_boot_usec());
	pthread_mutex_unlock(&node->stop_lock);
	return elapsed;
}

void node_close_gate(node_t *node)
{
	pthread_mutex_lock(&node->gate_lock);
	gate_close(node->gate);
	pthread_mutex_unlock(&node->gate_lock);
	node_run_gate(node);
}

void node_run_gate(node_t *node)
{
	gate_ticket_t *ticket;
	gate_verdict_t verdict;

	pthread_mutex_lock(&node->gate_lock);
	while ((ticket = gate_next(node->gate, clock_boot_usec(), &verdict)))
		node->ops->on_gate_verdict(ticket->ctx, verdict);
	pthread_mutex_unlock(&node->gate_lock);
}
